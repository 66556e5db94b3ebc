"""The entry host on a platform: passes requests on along routes and keeps turns."""
