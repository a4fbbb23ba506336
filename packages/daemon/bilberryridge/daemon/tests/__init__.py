"""Tests of `bilberryridge.daemon`."""
