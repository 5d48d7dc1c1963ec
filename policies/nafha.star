# Nafha weighs stranded accelerators more: it pays for every idle box. It holds
# no spares, breaks up one short group to mend others, and lets boxes that are
# left over in several domains form a slow group rather than idle.
def plan(facts):
    return table(
        spares = 0,
        warm_spares = True,
        patience_seconds = min(20, facts.restart_seconds),
        consolidate = True,
        cross_domain = True,
        storm_fraction = 0.5,
    )
