"""Choice of the upstream of a request by load, cached prompt parts and health; ejection."""

# The policies register themselves when they are imported.
from chervilrack._internal.balancing import policies as policies
from chervilrack._internal.balancing import stale_aware as stale_aware
