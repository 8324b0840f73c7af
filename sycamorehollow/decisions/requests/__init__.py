"""The course of a model request, from its arrival to its final answer."""
