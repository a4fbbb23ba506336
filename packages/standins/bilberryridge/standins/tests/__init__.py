"""Tests of `bilberryridge.standins`."""
