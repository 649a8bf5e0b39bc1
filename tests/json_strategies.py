"""Strategies of hypothesis for JSON documents with values that nobody expects."""

from hypothesis import strategies as st

# `json` writes and reads infinity, which the JSON text 1e999 also becomes.
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=8,
)


def with_other_value(document):
    """Return a strategy for a document in which one field has any JSON value."""
    return st.tuples(st.sampled_from(sorted(document)), JSON).map(
        lambda change: {**document, change[0]: change[1]}
    )
