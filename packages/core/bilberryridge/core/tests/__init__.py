"""Tests of `bilberryridge.core`."""
