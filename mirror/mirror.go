// Package mirror keeps a copy of the records of the key-value service in each
// process and knows how old the copy may be. It follows the service itself or
// the mirror of another process, so that few processes cost the service calls.
//
// Age is only ever proved by asking: what an answer says held at some moment
// after the question was sent, so the copy counts as being as old as the
// question. A mirror asked by another adds its own age to its answer.
package mirror

import (
	"slices"
	"strings"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// maxGone is how many removed keys are remembered, so that others can be told
// of them one by one. Who asks for older changes gets the whole copy.
const maxTombstones = 4096

// maxBefore is up to which size the former value of a record is kept, in
// bytes. Backend servers write records of half a kilobyte each second that
// differ by a number.
const maxPreviousValue = 4 << 10

// Mirror is a copy of all records. The zero value is empty and proves nothing.
type Mirror struct {
	mutex     sync.Mutex
	records   map[string]shedkeel.Record
	previous    map[string]shedkeel.Record // former values of small records
	tombstones      []shedkeel.Record          // removed keys, oldest first
	tombstoneFloor shedkeel.Revision          // removals up to this revision may be forgotten
	at        shedkeel.Revision          // the store's revision that the copy has reached
	known     bool
	asOf      time.Duration // the copy is what the store held then, or later
	changed   chan struct{} // closed at the next change
	listeners []func([]shedkeel.Record)
	restoreListeners  []func(Restore)
}

// Update is what brings a mirror up to date.
type Update struct {
	Records []shedkeel.Record // as they now stand, or gone
	Whole   bool              // Records are all there are; others are gone
	At      shedkeel.Revision
	AsOf    time.Duration // when the question was sent that this answers
	// Away says that the peer that told it is to follow the service and gets no
	// answer: the next change will not come from it.
	Away bool
}

// Listen has told called with the records of each change, in order, one call
// at a time. It must be called before the first Apply.
func (mirror *Mirror) Listen(listener func([]shedkeel.Record)) {
	mirror.listeners = append(mirror.listeners, listener)
}

// Restore is that the service has come back from an older copy of itself, as a mirror
// learns of it: by its first update of the new era.
type Restore struct {
	From, To shedkeel.Revision
	Lost     int // records that the older copy lacks
}

// ListenRestored has the listener called with each restore, before Listen's functions
// are with what changed by it. It must be called before the first Apply.
func (mirror *Mirror) ListenRestored(listener func(Restore)) {
	mirror.restoreListeners = append(mirror.restoreListeners, listener)
}

// Apply takes an update in. Older records never replace newer ones, and what is of an
// earlier era changes nothing. A later era begins with a whole update, since records
// may be gone without a change that says so.
func (mirror *Mirror) Apply(update Update) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if mirror.records == nil {
		mirror.records = map[string]shedkeel.Record{}
		mirror.previous = map[string]shedkeel.Record{}
	}
	newEra := mirror.known && update.At.Era > mirror.at.Era
	if update.At.Exists() && update.At.Era < mirror.at.Era || newEra && !update.Whole {
		return
	}
	previous := mirror.at
	mirror.at = shedkeel.LaterRevision(mirror.at, update.At)
	changed := mirror.merge(update.Records)
	if update.Whole {
		changed = append(changed, mirror.removeAbsent(update, newEra)...)
		mirror.tombstoneFloor = shedkeel.LaterRevision(mirror.tombstoneFloor, update.At)
	}
	first := !mirror.known
	mirror.known = mirror.known || update.Whole
	mirror.asOf = max(mirror.asOf, update.AsOf)
	if newEra {
		clear(mirror.previous) // they are of another history
		mirror.notifyRestored(previous, changed)
	}
	if len(changed) == 0 && !first && !newEra {
		return
	}
	for _, listener := range mirror.listeners {
		listener(changed)
	}
	if mirror.changed != nil {
		close(mirror.changed)
		mirror.changed = nil
	}
}

func (mirror *Mirror) notifyRestored(from shedkeel.Revision, changed []shedkeel.Record) {
	restore := Restore{From: from, To: mirror.at}
	for _, record := range changed {
		if record.Lost {
			restore.Lost++
		}
	}
	for _, listener := range mirror.restoreListeners {
		listener(restore)
	}
}

// merge takes in the records that are newer than the copy's and returns them.
func (mirror *Mirror) merge(records []shedkeel.Record) []shedkeel.Record {
	var changed []shedkeel.Record
	for _, record := range records {
		earlierEra := record.Revision.Era < mirror.at.Era
		if earlierEra || !record.Revision.After(mirror.records[record.Key].Revision) || mirror.removedSince(record) {
			continue
		}
		changed = append(changed, record)
		if record.Gone {
			mirror.remove(record)
		} else {
			mirror.replace(record)
		}
	}
	return changed
}

// replace keeps a newer record, and the one that it replaces if it is small.
func (mirror *Mirror) replace(record shedkeel.Record) {
	former, found := mirror.records[record.Key]
	if found && len(former.Value) <= maxPreviousValue {
		mirror.previous[record.Key] = former
	} else {
		delete(mirror.previous, record.Key)
	}
	mirror.records[record.Key] = record
}

// removedSince reports whether the key was removed at a later revision than
// the record's.
func (mirror *Mirror) removedSince(record shedkeel.Record) bool {
	return slices.ContainsFunc(mirror.tombstones, func(tombstone shedkeel.Record) bool {
		return tombstone.Key == record.Key && !record.Revision.After(tombstone.Revision)
	})
}

func (mirror *Mirror) remove(record shedkeel.Record) {
	delete(mirror.records, record.Key)
	delete(mirror.previous, record.Key)
	mirror.tombstones = append(mirror.tombstones, shedkeel.Record{Key: record.Key, Revision: record.Revision, Gone: true})
	if len(mirror.tombstones) > maxTombstones {
		mirror.tombstoneFloor = shedkeel.LaterRevision(mirror.tombstoneFloor, mirror.tombstones[0].Revision)
		mirror.tombstones = mirror.tombstones[1:]
	}
}

// dropAbsent removes the keys that a whole copy lacks. They are lost where it begins
// an era.
func (mirror *Mirror) removeAbsent(update Update, lost bool) []shedkeel.Record {
	present := map[string]bool{}
	for _, record := range update.Records {
		present[record.Key] = true
	}
	var removed []shedkeel.Record
	for key, record := range mirror.records {
		if present[key] || record.Revision.After(update.At) {
			continue
		}
		tombstone := shedkeel.Record{Key: key, Revision: update.At, Gone: true, Lost: lost}
		mirror.remove(tombstone)
		removed = append(removed, tombstone)
	}
	return removed
}

// State is how far a mirror has come.
type State struct {
	Known bool
	At    shedkeel.Revision
	AsOf  time.Duration
}

// State returns how far the mirror has come.
func (mirror *Mirror) State() State {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return State{Known: mirror.known, At: mirror.at, AsOf: mirror.asOf}
}

// Len returns how many records the copy has.
func (mirror *Mirror) Len() int {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return len(mirror.records)
}

// Get returns a record of the copy. One that does not exist has no revision.
func (mirror *Mirror) Get(key string) shedkeel.Record {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	record, found := mirror.records[key]
	if !found {
		return shedkeel.Record{Key: key}
	}
	return record
}

// Before returns the record that the newest one of the key replaced. One that is not
// kept has no revision.
func (mirror *Mirror) Before(key string) shedkeel.Record {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.previous[key]
}

// Below returns the records whose keys begin with the prefix, sorted by key.
func (mirror *Mirror) Below(prefix string) []shedkeel.Record {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	var found []shedkeel.Record
	for key, record := range mirror.records {
		if strings.HasPrefix(key, prefix) {
			found = append(found, record)
		}
	}
	slices.SortFunc(found, func(a, b shedkeel.Record) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// Since returns what another mirror needs that has reached the revision: all of the
// era that this one has reached, if that is a later one.
func (mirror *Mirror) Since(revision shedkeel.Revision) Update {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	era, known := mirror.at.Era, revision.Number
	whole := mirror.tombstoneFloor.After(revision) || revision.Era < era
	if whole {
		known = 0
	}
	update := Update{At: mirror.at, AsOf: mirror.asOf, Whole: whole}
	if revision.Era > era {
		return update // who asks has what came after
	}
	for _, record := range mirror.records {
		// One of a later era was written by this process, which has not seen the era begin.
		if record.Revision.Number > known && record.Revision.Era == era {
			update.Records = append(update.Records, record)
		}
	}
	if whole {
		return update
	}
	for _, record := range mirror.tombstones {
		if record.Revision.Number > known && record.Revision.Era == era {
			update.Records = append(update.Records, record)
		}
	}
	return update
}

// Changed returns a channel that is closed at the next change.
func (mirror *Mirror) Changed() <-chan struct{} {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if mirror.changed == nil {
		mirror.changed = make(chan struct{})
	}
	return mirror.changed
}
