"""Private parts of the daemon and the tool; nothing here is a public interface."""
