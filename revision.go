package shedkeel

import "strconv"

// Revision is a place in the history of the key-value service. A record with the zero
// value does not exist.
type Revision struct {
	// Era is how often the service has come back from an older copy of itself. It
	// gives numbers out again then, so that they only compare within an era.
	Era    int64
	Number int64 // rises with each change
}

// After reports whether the revision is later than the other.
func (revision Revision) After(other Revision) bool {
	if revision.Era != other.Era {
		return revision.Era > other.Era
	}
	return revision.Number > other.Number
}

// Exists reports whether a record with the revision exists.
func (revision Revision) Exists() bool { return revision.Number != 0 }

// String returns the era and the number, or only the number in the first era.
func (revision Revision) String() string {
	number := strconv.FormatInt(revision.Number, 10)
	if revision.Era == 0 {
		return number
	}
	return strconv.FormatInt(revision.Era, 10) + ":" + number
}

// LaterRevision returns the later of two revisions.
func LaterRevision(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

// LeaseID names a lease of the key-value service; the zero value is none. The numbers
// of leases are given out again in another era, too.
type LeaseID struct {
	Era    int64
	Number int64
}
