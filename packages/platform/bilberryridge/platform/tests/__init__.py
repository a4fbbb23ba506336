"""Tests of `bilberryridge.platform`."""
