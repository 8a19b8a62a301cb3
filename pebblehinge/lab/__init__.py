"""The laboratory: days with troubles, load, fleets of processes, and the checker of the rules.

`days` turns a day's script into steps, `load` draws what clients ask, `clients` sends it, `stage` runs a fleet of
processes, `check` judges the rules from records, `verdict` puts a day's figures together.
"""
