"""Guards which instance a log line is taken for."""

from carobsail import loglines


def test_line_without_a_word_in_front_is_of_the_instance_before_it():
    """Lines that were written together got no instance, and were left out."""
    texts = ["time=x event=a", "12.5 n2 time=x event=b", "time=x event=c"]
    lines = loglines.read(["no log line", *texts], "n1")
    assert [(x.event, x.source) for x in lines] == [
        ("a", "n1"),
        ("b", "n2"),
        ("c", "n2"),
    ]
