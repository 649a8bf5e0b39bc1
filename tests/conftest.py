"""Set-up shared by all tests."""

import eliot

# Without a destination, eliot buffers the messages of earlier tests and delivers them to the first
# destination that a later test adds.
eliot.add_destinations(lambda message: None)
