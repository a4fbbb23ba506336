"""Tests of `bilberryridge.decisions`."""
