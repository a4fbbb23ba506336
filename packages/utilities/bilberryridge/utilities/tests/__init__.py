"""Tests of `bilberryridge.utilities`."""
