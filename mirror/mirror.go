// Package mirror keeps a copy of the records of the key-value service in each
// process and tracks how old the copy may be. A copy follows the service itself or
// the mirror of another process, so that only a few processes call the service.
//
// Only a response proves the age of a copy: its content was current at some moment
// after the request was sent, so the copy counts as being as old as the request. A
// mirror that answers another one adds the age of its own copy.
package mirror

import (
	"slices"
	"strings"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// maxTombstones bounds the deleted keys that are remembered in order to send
// deletions one by one. A mirror that asks for older changes receives a full copy.
const maxTombstones = 4096

// maxPreviousValue is the size in bytes up to which the previous value of a record
// is kept, so that a small change can be sent as a difference. Backend servers write
// records of half a kilobyte each second that differ by a number.
const maxPreviousValue = 4 << 10

// Mirror is a copy of all records. The zero value is an empty mirror that has no
// copy yet.
type Mirror struct {
	mutex            sync.Mutex
	records          map[string]shedkeel.Record
	previous         map[string]shedkeel.Record // previous versions of small records
	tombstones       []shedkeel.Record          // deleted keys, oldest first
	tombstoneFloor   shedkeel.Revision          // deletions up to this revision may be forgotten
	at               shedkeel.Revision          // the service's revision that the copy has reached
	known            bool                       // a full update has been applied
	asOf             time.Duration              // by the Follower's Timers: the copy has all changes that the service had made by then
	changed          chan struct{}              // closed at the next change; nil: nobody waits
	listeners        []func([]shedkeel.Record)
	restoreListeners []func(Restore)
	stateListeners   []func(State)
}

// Update is a set of changes, or a full copy, that a mirror applies.
type Update struct {
	Records []shedkeel.Record // present or deleted records
	Full    bool              // Records is a full copy: keys that it lacks are deleted
	At      shedkeel.Revision
	AsOf    time.Duration // when the request that this update answers was sent; 0: the update proves no age
	// SourceUnreachable says that the sending peer follows the service and gets no response
	// from it, so that the next change will not come from this peer.
	SourceUnreachable bool
}

// Listen registers a function that is called with the changed records of each
// update, in order, one call at a time. It must be called before the first Apply.
// The listener must not call the mirror, which is locked meanwhile.
func (mirror *Mirror) Listen(listener func([]shedkeel.Record)) {
	mirror.listeners = append(mirror.listeners, listener)
}

// Restore describes a restore of the service from an older copy of itself, as the
// mirror sees it in the first full update of the new era.
type Restore struct {
	From, To shedkeel.Revision
	Lost     int // records that the older copy lacks
}

// ListenRestore registers a function that is called at each restore, before the
// functions of Listen receive the changed records. It must be called before the first
// Apply.
func (mirror *Mirror) ListenRestore(listener func(Restore)) {
	mirror.restoreListeners = append(mirror.restoreListeners, listener)
}

// ListenState registers a function that is called with the state of the copy after each update, once the functions of
// Listen have received its changes. What it derives from both belongs together. It must be called before the first Apply.
func (mirror *Mirror) ListenState(listener func(State)) {
	mirror.stateListeners = append(mirror.stateListeners, listener)
}

// Apply applies an update. Older records never replace newer ones, and updates of an
// earlier era are ignored. The first update of a later era must be full and is ignored
// otherwise, since the restore may have lost records without a change that deletes them.
func (mirror *Mirror) Apply(update Update) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if mirror.records == nil {
		mirror.records = map[string]shedkeel.Record{}
		mirror.previous = map[string]shedkeel.Record{}
	}
	newEra := mirror.known && update.At.Era > mirror.at.Era
	if update.At.Exists() && update.At.Era < mirror.at.Era || newEra && !update.Full {
		return
	}
	oldRevision := mirror.at
	mirror.at = shedkeel.LaterRevision(mirror.at, update.At)
	changes := mirror.merge(update.Records, oldRevision)
	if update.Full {
		changes = append(changes, mirror.removeAbsent(update, newEra)...)
		mirror.tombstoneFloor = shedkeel.LaterRevision(mirror.tombstoneFloor, update.At)
	}
	first := !mirror.known
	mirror.known = mirror.known || update.Full
	mirror.asOf = max(mirror.asOf, update.AsOf)
	if newEra {
		clear(mirror.previous) // these records are of the earlier era
		mirror.notifyRestored(oldRevision, changes)
	}
	changed := len(changes) > 0 || first || newEra
	if changed {
		for _, listener := range mirror.listeners {
			listener(changes)
		}
	}
	for _, listener := range mirror.stateListeners {
		listener(mirror.state())
	}
	if changed && mirror.changed != nil {
		close(mirror.changed)
		mirror.changed = nil
	}
}

// notifyRestored calls the restore listeners.
func (mirror *Mirror) notifyRestored(oldRevision shedkeel.Revision, changes []shedkeel.Record) {
	restore := Restore{From: oldRevision, To: mirror.at}
	for _, record := range changes {
		if record.LostInRestore {
			restore.Lost++
		}
	}
	for _, listener := range mirror.restoreListeners {
		listener(restore)
	}
}

// merge applies those of the records that are newer than the copy's and returns them. The copy had reached the revision before:
// it has what the service held then, so an earlier record that it lacks was deleted since.
func (mirror *Mirror) merge(records []shedkeel.Record, before shedkeel.Revision) []shedkeel.Record {
	var changes []shedkeel.Record
	for _, record := range records {
		earlierEra := record.Revision.Era < mirror.at.Era
		included := mirror.known && before.After(record.Revision)
		if earlierEra || included || !record.Revision.After(mirror.records[record.Key].Revision) || mirror.removedSince(record) {
			continue
		}
		changes = append(changes, record)
		if record.Removed {
			mirror.remove(record)
		} else {
			mirror.replace(record)
		}
	}
	return changes
}

// replace stores a newer record, and keeps the one that it replaces if it is small.
func (mirror *Mirror) replace(record shedkeel.Record) {
	old, found := mirror.records[record.Key]
	if found && len(old.Value) <= maxPreviousValue {
		mirror.previous[record.Key] = old
	} else {
		delete(mirror.previous, record.Key)
	}
	mirror.records[record.Key] = record
}

// removedSince reports whether the key was deleted at the record's revision or later.
func (mirror *Mirror) removedSince(record shedkeel.Record) bool {
	return slices.ContainsFunc(mirror.tombstones, func(tombstone shedkeel.Record) bool {
		return tombstone.Key == record.Key && !record.Revision.After(tombstone.Revision)
	})
}

// remove deletes a record and keeps its tombstone.
func (mirror *Mirror) remove(record shedkeel.Record) {
	delete(mirror.records, record.Key)
	delete(mirror.previous, record.Key)
	mirror.tombstones = append(mirror.tombstones, shedkeel.Record{Key: record.Key, Revision: record.Revision, Removed: true})
	if len(mirror.tombstones) > maxTombstones {
		mirror.tombstoneFloor = shedkeel.LaterRevision(mirror.tombstoneFloor, mirror.tombstones[0].Revision)
		mirror.tombstones = mirror.tombstones[1:]
	}
}

// removeAbsent deletes the keys that a full update lacks and returns their tombstones. The
// caller sets lost if the update begins a new era; the tombstones are then marked as lost
// in the restore.
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
		tombstone := shedkeel.Record{Key: key, Revision: update.At, Removed: true, LostInRestore: lost}
		mirror.remove(tombstone)
		removed = append(removed, tombstone)
	}
	return removed
}

// State is the state of a mirror's copy.
type State struct {
	Known bool              // there is a copy
	At    shedkeel.Revision // the revision that it has reached
	AsOf  time.Duration     // it has all changes that the service had made by then
}

// State returns the state of the copy.
func (mirror *Mirror) State() State {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.state()
}

// state returns the state of the copy. The caller holds the mutex.
func (mirror *Mirror) state() State {
	return State{Known: mirror.known, At: mirror.at, AsOf: mirror.asOf}
}

// Len returns how many records the copy has.
func (mirror *Mirror) Len() int {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return len(mirror.records)
}

// Get returns a record of the copy. If the key does not exist, the record has the zero
// revision.
func (mirror *Mirror) Get(key string) shedkeel.Record {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	record, found := mirror.records[key]
	if !found {
		return shedkeel.Record{Key: key}
	}
	return record
}

// Previous returns the record that the current one of the key replaced. If it was not
// kept, it has the zero revision.
func (mirror *Mirror) Previous(key string) shedkeel.Record {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.previous[key]
}

// ListPrefix returns the records whose keys begin with the prefix, sorted by key.
func (mirror *Mirror) ListPrefix(prefix string) []shedkeel.Record {
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

// UpdateSince returns the update for a mirror that has reached the revision. It is a full
// copy if that mirror is of an earlier era or older than the tombstones.
func (mirror *Mirror) UpdateSince(revision shedkeel.Revision) Update {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	era, sinceNumber := mirror.at.Era, revision.Number
	full := mirror.tombstoneFloor.After(revision) || revision.Era < era
	if full {
		sinceNumber = 0
	}
	update := Update{At: mirror.at, AsOf: mirror.asOf, Full: full}
	if revision.Era > era {
		return update // the other mirror is in a later era
	}
	for _, record := range mirror.records {
		// The copy has a record of a later era if this process wrote it before it received
		// the first update of that era.
		if record.Revision.Number > sinceNumber && record.Revision.Era == era {
			update.Records = append(update.Records, record)
		}
	}
	if full {
		return update
	}
	for _, record := range mirror.tombstones {
		if record.Revision.Number > sinceNumber && record.Revision.Era == era {
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
