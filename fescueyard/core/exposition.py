"""Metrics in the Prometheus text exposition format."""

from fescueyard.core import http

CONTENT_TYPE = "text/plain; version=0.0.4"
PREFIX = "fescueyard_"


def sample(name, value, **labels):
    """Format one sample.

    :param name: metric name without the project's prefix.
    :param value: value of the sample.
    :param labels: labels of the sample.
    :returns: line of text, without a line break.
    """
    if not labels:
        return f"{PREFIX}{name} {value}"
    pairs = ",".join(f'{key}="{text}"' for key, text in labels.items())
    return f"{PREFIX}{name}{{{pairs}}} {value}"


def metrics_response(samples):
    """Build the HTTP response of a metrics listener.

    :param samples: list of lines made by :func:`sample`.
    :returns: :class:`~fescueyard.core.http.HttpResponse`.
    """
    headers = [http.Header("content-type", CONTENT_TYPE)]
    return http.HttpResponse(
        200, headers, ("\n".join(samples) + "\n").encode()
    )
