"""Commands on programs: parsing, validation and the decision what to do with a call."""
