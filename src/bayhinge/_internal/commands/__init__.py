"""What changes a program's state: checks and transitions."""
