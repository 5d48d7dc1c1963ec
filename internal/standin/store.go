package standin

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// Store is an in-memory key-value store with leases and a history of changes.
// platform/standin serves it over HTTP.
type Store struct {
	faults      faultSwitch
	mutex       sync.Mutex
	revision    int64
	data        map[string]shedkeel.Record
	saved       snapshot
	era         int64         // number of restores from a snapshot
	changed     chan struct{} // closed and replaced at each change
	history     []shedkeel.Record
	compactedTo int64 // the history holds only changes after this revision
	leases      map[int64]*activeLease
	leaseOfKey  map[string]int64 // lease that owns each key, for keys with a lease
	lastLease   int64            // number of the last lease
	counts      Counts
	late        LateWrites
}

// LateWrites are writes that get no answer and are done later, if their conditions still hold then.
type LateWrites struct {
	Share       float64 // of all writes
	Least, Most time.Duration
}

// SetLateWrites sets which writes are done late from now on.
func (store *Store) SetLateWrites(late LateWrites) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.late = late
}

// Postpone reports whether a write is one of those that are done late. The caller then neither commits nor answers it.
func (store *Store) Postpone(change shedkeel.Transaction) bool {
	store.mutex.Lock()
	late := store.late
	store.mutex.Unlock()
	if rand.Float64() >= late.Share {
		return false
	}
	time.AfterFunc(late.Least+rand.N(late.Most-late.Least), func() { _, _ = store.Commit(change) }) // nobody waits for the outcome
	return true
}

// snapshot is a copy of a store's state.
type snapshot struct {
	revision   int64
	data       map[string]shedkeel.Record
	leases     map[int64]time.Duration // TTL of each lease
	leaseOfKey map[string]int64
	lastLease  int64
}

// activeLease is a lease that has not expired.
type activeLease struct {
	ttl   time.Duration
	until time.Time
}

// Counts are the numbers of calls to a store. Reads include renewals of leases; Writes
// include the granting and release of leases.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		data: map[string]shedkeel.Record{}, changed: make(chan struct{}),
		leases: map[int64]*activeLease{}, leaseOfKey: map[string]int64{},
	}
}

// Counts returns the numbers of calls so far.
func (store *Store) Counts() Counts {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.counts
}

// Get reads a key, for tests without HTTP. A missing key has the zero revision. The error is
// an UnavailableError during an outage. Other faults do not apply.
func (store *Store) Get(_ context.Context, key string) (shedkeel.Record, error) {
	if store.faults.get().Outage {
		return shedkeel.Record{}, &shedkeel.UnavailableError{What: "store"}
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.counts.Reads++
	record, found := store.data[key]
	if !found {
		return shedkeel.Record{Key: key}, nil
	}
	return record, nil
}

// Swap writes a key if it has the revision, for tests without HTTP. The error is an
// UnavailableError during an outage. It is a ConflictError if the key has another revision
// or the revision is of another era, and an UnknownOutcomeError if the fault LoseReplies
// drops the reply, whether or not the key was written. Other faults do not apply.
func (store *Store) Swap(_ context.Context, key string, revision shedkeel.Revision, value []byte) (shedkeel.Revision, error) {
	if store.faults.get().Outage {
		return shedkeel.Revision{}, &shedkeel.UnavailableError{What: "store"}
	}
	if revision.Exists() && revision.Era != store.Era() {
		return shedkeel.Revision{}, &shedkeel.ConflictError{What: "key " + key}
	}
	written, swapped := store.swap(key, revision, value)
	if store.faults.consume(func(faults *Faults) *int { return &faults.LoseReplies }) {
		return shedkeel.Revision{}, &shedkeel.UnknownOutcomeError{What: "write"}
	}
	if !swapped {
		return shedkeel.Revision{}, &shedkeel.ConflictError{What: "key " + key}
	}
	return written, nil
}

// Watch calls seen for each record below the prefix and then for each change, until
// the context is done or the history is lost, which are its errors. It is for tests without
// HTTP, and no faults apply.
func (store *Store) Watch(ctx context.Context, prefix string, seen func(shedkeel.Record)) error {
	records, at := store.List(prefix)
	for {
		for _, record := range records {
			seen(record)
		}
		var err error
		records, at, err = store.Changes(ctx, prefix, at, time.Minute)
		if err != nil {
			return err
		}
	}
}

// SetFaults replaces the faults.
func (store *Store) SetFaults(faults Faults) { store.faults.set(faults) }

// swap writes one key if it has the revision, and reports whether it did.
func (store *Store) swap(key string, revision shedkeel.Revision, value []byte) (shedkeel.Revision, bool) {
	written, err := store.Commit(shedkeel.Transaction{If: []shedkeel.Condition{{Key: key, Revision: revision}}, Put: []shedkeel.Put{{Key: key, Value: value}}})
	return written, err == nil
}

// appendChange appends a change to the history and wakes the watches. The caller holds
// the mutex.
func (store *Store) appendChange(record shedkeel.Record) {
	store.history = append(store.history, record)
	close(store.changed)
	store.changed = make(chan struct{})
}

// Snapshot saves the state for Restore, in place of an earlier snapshot.
func (store *Store) Snapshot() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	leases := map[int64]time.Duration{}
	for id, lease := range store.leases {
		leases[id] = lease.ttl
	}
	store.saved = snapshot{revision: store.revision, data: maps.Clone(store.data), leases: leases, leaseOfKey: maps.Clone(store.leaseOfKey), lastLease: store.lastLease}
}

// Restore returns to the snapshot, like a service that is restored from a backup. The
// numbers of later revisions and leases are assigned again, in a new era, and leases begin
// a full TTL. Watches for changes after another revision than that of the snapshot end with
// a CompactedError.
func (store *Store) Restore() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	kept := store.saved
	store.era++
	store.data, store.leaseOfKey = map[string]shedkeel.Record{}, map[string]int64{}
	for key, record := range kept.data {
		record.Revision.Era = store.era
		store.data[key] = record
	}
	maps.Copy(store.leaseOfKey, kept.leaseOfKey)
	store.leases = map[int64]*activeLease{}
	for id, ttl := range kept.leases {
		store.leases[id] = &activeLease{ttl: ttl, until: time.Now().Add(ttl)}
		time.AfterFunc(ttl+time.Millisecond, store.expireNow)
	}
	store.revision, store.lastLease = kept.revision, kept.lastLease
	store.history = nil
	store.compactedTo = store.revision
	close(store.changed)
	store.changed = make(chan struct{})
}

// Era returns the number of restores from a snapshot.
func (store *Store) Era() int64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.era
}

// Record returns a key's record. A missing key has the zero revision.
func (store *Store) Record(key string) shedkeel.Record {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	store.counts.Reads++
	record, found := store.data[key]
	if !found {
		return shedkeel.Record{Key: key}
	}
	return record
}

// List returns the records below the prefix, sorted by key, and the current revision.
func (store *Store) List(prefix string) ([]shedkeel.Record, shedkeel.Revision) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	store.counts.Reads++
	var found []shedkeel.Record
	for key, record := range store.data {
		if strings.HasPrefix(key, prefix) {
			found = append(found, record)
		}
	}
	slices.SortFunc(found, func(a, b shedkeel.Record) int { return strings.Compare(a.Key, b.Key) })
	return found, store.currentRevision()
}

// Changes returns the changes below the prefix after the revision since, whose era it
// ignores, and the current revision. It waits up to wait for a change, and then returns none
// and no error. It returns a CompactedError if the history does not reach back to since or
// since is later than the current revision, as after Restore, and ctx's error if ctx ends.
func (store *Store) Changes(ctx context.Context, prefix string, since shedkeel.Revision, wait time.Duration) ([]shedkeel.Record, shedkeel.Revision, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	store.mutex.Lock()
	store.counts.Watches++
	store.mutex.Unlock()
	for {
		store.mutex.Lock()
		store.expire()
		compacted := since.Number < store.compactedTo || since.Number > store.revision
		at, changed := store.currentRevision(), store.changed
		var matching []shedkeel.Record
		for _, record := range store.history {
			if record.Revision.Number > since.Number && strings.HasPrefix(record.Key, prefix) {
				matching = append(matching, record)
			}
		}
		store.mutex.Unlock()
		if compacted {
			return nil, at, &shedkeel.CompactedError{Since: since}
		}
		if len(matching) > 0 {
			return matching, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, at, ctx.Err()
		case <-end.C:
			return nil, at, nil
		case <-changed:
		}
	}
}

// DropHistory deletes the history of changes. Watches from an earlier revision than the
// current one then end with a CompactedError.
func (store *Store) DropHistory() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.history = nil
	store.compactedTo = store.revision
	close(store.changed)
	store.changed = make(chan struct{})
}

// currentRevision returns the revision of the last change. The caller holds the mutex.
func (store *Store) currentRevision() shedkeel.Revision {
	return shedkeel.Revision{Era: store.era, Number: store.revision}
}

// Commit applies all changes at one revision, or none, and returns the current revision in
// either case. Like the service, it ignores the eras of revisions and leases. The error is a
// ConflictError if a key does not have the required revision, or a LeaseEndedError if the
// lease of a put has ended.
func (store *Store) Commit(change shedkeel.Transaction) (shedkeel.Revision, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	store.counts.Writes++
	for _, condition := range change.If {
		if store.data[condition.Key].Revision.Number != condition.Revision.Number {
			return store.currentRevision(), &shedkeel.ConflictError{What: "key " + condition.Key}
		}
	}
	for _, put := range change.Put {
		if put.Lease.Number != 0 && store.leases[put.Lease.Number] == nil {
			return store.currentRevision(), &shedkeel.LeaseEndedError{}
		}
	}
	store.revision++
	for _, put := range change.Put {
		record := shedkeel.Record{Key: put.Key, Value: put.Value, Revision: store.currentRevision()}
		store.data[put.Key] = record
		delete(store.leaseOfKey, put.Key)
		if put.Lease.Number != 0 {
			store.leaseOfKey[put.Key] = put.Lease.Number
		}
		store.appendChange(record)
	}
	store.remove(change.Remove)
	return store.currentRevision(), nil
}

// remove deletes those of the keys that exist, at the current revision. The caller holds the
// mutex.
func (store *Store) remove(keys []string) {
	for _, key := range keys {
		if _, found := store.data[key]; !found {
			continue
		}
		delete(store.data, key)
		delete(store.leaseOfKey, key)
		store.appendChange(shedkeel.Record{Key: key, Revision: store.currentRevision(), Removed: true})
	}
}

// Grant creates a lease.
func (store *Store) Grant(ttl time.Duration) shedkeel.LeaseID {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.counts.Writes++
	store.lastLease++
	store.leases[store.lastLease] = &activeLease{ttl: ttl, until: time.Now().Add(ttl)}
	time.AfterFunc(ttl+time.Millisecond, store.expireNow)
	return shedkeel.LeaseID{Era: store.era, Number: store.lastLease}
}

// Renew begins a full TTL of a lease and returns the TTL. The error is a LeaseEndedError if
// the lease has expired or was released.
func (store *Store) Renew(lease shedkeel.LeaseID) (time.Duration, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	store.counts.Reads++
	active := store.leases[lease.Number]
	if active == nil {
		return 0, &shedkeel.LeaseEndedError{}
	}
	active.until = time.Now().Add(active.ttl)
	time.AfterFunc(active.ttl+time.Millisecond, store.expireNow)
	return active.ttl, nil
}

// Release ends a lease and deletes its keys. It does nothing if the lease has ended.
func (store *Store) Release(lease shedkeel.LeaseID) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.counts.Writes++
	if active := store.leases[lease.Number]; active != nil {
		active.until = time.Time{}
	}
	store.expire()
}

// expireNow is expire for timers, which do not hold the mutex. They fire 1 ms after a TTL
// has passed, when the lease has expired unless it was renewed.
func (store *Store) expireNow() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
}

// expire ends the leases whose time is over and deletes their keys, at one new revision for
// each lease that has keys. The caller holds the mutex.
func (store *Store) expire() {
	now := time.Now()
	for id, lease := range store.leases {
		if lease.until.After(now) {
			continue
		}
		delete(store.leases, id)
		var keys []string
		for key, owner := range store.leaseOfKey {
			if owner == id {
				keys = append(keys, key)
			}
		}
		if len(keys) > 0 {
			store.revision++
			store.remove(keys)
		}
	}
}

// ApplyCommonFaults applies the faults DelayMS, Hang and Outage. It reports whether the
// handler should go on with the call, which is false after Hang and Outage.
func (store *Store) ApplyCommonFaults(writer http.ResponseWriter, request *http.Request) bool {
	return store.faults.applyCommon(writer, request)
}

// ConsumeLostReply reports whether the reply to the current write must be dropped, and
// if so decrements the fault LoseReplies.
func (store *Store) ConsumeLostReply() bool {
	return store.faults.consume(func(faults *Faults) *int { return &faults.LoseReplies })
}

// FaultHandler returns the handler of POST /fault.
func (store *Store) FaultHandler() http.Handler { return &store.faults }
