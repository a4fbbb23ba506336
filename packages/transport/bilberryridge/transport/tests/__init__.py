"""Tests of `bilberryridge.transport`."""
