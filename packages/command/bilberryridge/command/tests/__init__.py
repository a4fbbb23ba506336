"""Tests of `bilberryridge.command`."""
