"""Pure decisions: state machines that take events and the time and return typed actions."""
