"""Cases of an independent review: each shows a broken rule by processes of the project and stand-ins."""
