# Nafha weighs stranded accelerators more: it pays for every idle box. It holds
# no spares, and lets boxes that are left over in several domains form a slow
# group rather than idle. Breaking up short groups to mend others was measured
# to more than double the time spent in slow groups, for 3% less downtime.
def plan(facts):
    return table(
        spares = 0,
        warm_spares = True,
        patience_seconds = min(20, facts.restart_seconds),
        consolidate = False,
        cross_domain = True,
        storm_fraction = 0.5,
    )
