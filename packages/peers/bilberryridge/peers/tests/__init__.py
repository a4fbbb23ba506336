"""Tests of `bilberryridge.peers`."""
