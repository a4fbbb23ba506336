"""Tests of `bilberryridge.configuration`."""
