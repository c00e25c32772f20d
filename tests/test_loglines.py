"""Guards the attribution of log lines to instances."""

from carobsail import loglines


def test_line_without_prefix_belongs_to_the_previous_instance():
    """Lines written in one batch share the prefix of the first one.

    Without its instance, a line would be left out of reports.
    """
    texts = ["time=x event=a", "12.5 n2 time=x event=b", "time=x event=c"]
    lines = loglines.parse_lines(["no log line", *texts], "n1")
    assert [(line.event, line.source) for line in lines] == [
        ("a", "n1"),
        ("b", "n2"),
        ("c", "n2"),
    ]
