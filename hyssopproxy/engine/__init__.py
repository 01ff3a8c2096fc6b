"""Decision logic of the query tier: takes and returns values, without clock or I/O."""
