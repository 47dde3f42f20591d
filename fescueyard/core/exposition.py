"""Metrics as text in the usual exposition format."""

from fescueyard.core import http

CONTENT_TYPE = "text/plain; version=0.0.4"
PREFIX = "fescueyard_"


def sample(name, value, **labels):
    """Write one sample.

    :param name: name without the project's prefix.
    :param value: number.
    :param labels: labels of the sample.
    :returns: text without its end.
    """
    if not labels:
        return f"{PREFIX}{name} {value}"
    pairs = ",".join(f'{key}="{text}"' for key, text in labels.items())
    return f"{PREFIX}{name}{{{pairs}}} {value}"


def metrics_response(samples):
    """Make the answer of a metrics listener.

    :param samples: list of samples.
    :returns: :class:`~fescueyard.core.http.HttpResponse`.
    """
    headers = [http.Header("content-type", CONTENT_TYPE)]
    return http.HttpResponse(
        200, headers, ("\n".join(samples) + "\n").encode()
    )
