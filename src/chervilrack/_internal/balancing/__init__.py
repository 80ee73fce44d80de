"""Choice of the upstream of a request by load, cached prompt parts and health; ejection."""
