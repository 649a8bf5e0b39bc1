"""Stand-ins of the platform, its workers and its clients for the review's scripts.

They use the standard library only and follow PROTOCOL.md. Where that page is silent, they behave
like a sound platform, worker or client. All addresses are on 127.0.0.1.
"""
