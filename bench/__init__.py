"""Benchmarks, and experiments on meshes of real processes."""
