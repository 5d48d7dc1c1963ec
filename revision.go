package shedkeel

import "strconv"

// Revision is a point in the history of the key-value service. A record with the
// zero revision does not exist.
type Revision struct {
	// Era is the number of times that the key-value service was restored from an
	// older backup. A restored key-value service assigns the same numbers again, so
	// numbers can only be compared within an era.
	Era    int64
	Number int64 // increases with each change
}

// After reports whether the revision is later than the other one.
func (revision Revision) After(other Revision) bool {
	if revision.Era != other.Era {
		return revision.Era > other.Era
	}
	return revision.Number > other.Number
}

// Exists reports whether a record with the revision exists.
func (revision Revision) Exists() bool { return revision.Number != 0 }

// String returns "era:number", or only the number in the first era, 0.
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

// LeaseID identifies a lease of the key-value service; the zero value is no lease.
// The key-value service assigns the same lease numbers again in another era.
type LeaseID struct {
	Era    int64
	Number int64
}
