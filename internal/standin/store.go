package standin

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// Store is the data of a key-value service with leases and a history. The
// platform's stand-in speaks for it over HTTP.
type Store struct {
	faults   faultSwitch
	mutex    sync.Mutex
	revision int64
	data     map[string]shedkeel.Record
	saved     snapshot
	era      int64         // how often it has come back from a snapshot
	changed  chan struct{} // closed at each change
	log      []shedkeel.Record
	compactedTo    int64 // changes up to this revision are forgotten
	leases   map[int64]*activeLease
	leaseOfKey  map[string]int64 // of keys that go with a lease
	granted  int64
	counts   Counts
}

// snapshot is what a store held at a moment.
type snapshot struct {
	revision int64
	data     map[string]shedkeel.Record
	leases   map[int64]time.Duration // how long each lasts
	byLease  map[string]int64
	granted  int64
}

// activeLease is a lease that is not over.
type activeLease struct {
	ttl   time.Duration
	until time.Time
}

// Counts is how many calls a store has had.
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

// Counts returns how many calls there were.
func (store *Store) Counts() Counts {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.counts
}

// Get reads a key, for tests that need no HTTP.
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

// Swap writes a key, for tests that need no HTTP.
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

// Watch follows a prefix, for tests that need no HTTP.
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

// SetFaults sets the faults in force.
func (store *Store) SetFaults(faults Faults) { store.faults.set(faults) }

func (store *Store) swap(key string, revision shedkeel.Revision, value []byte) (shedkeel.Revision, bool) {
	written, err := store.Commit(shedkeel.Change{If: []shedkeel.Condition{{Key: key, Revision: revision}}, Put: []shedkeel.Put{{Key: key, Value: value}}})
	return written, err == nil
}

// appendChange wakes the watches. The mutex is held.
func (store *Store) appendChange(record shedkeel.Record) {
	store.log = append(store.log, record)
	close(store.changed)
	store.changed = make(chan struct{})
}

// Snapshot keeps what the store holds as it is.
func (store *Store) Snapshot() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	leases := map[int64]time.Duration{}
	for id, lease := range store.leases {
		leases[id] = lease.ttl
	}
	store.saved = snapshot{revision: store.revision, data: maps.Clone(store.data), leases: leases, byLease: maps.Clone(store.leaseOfKey), granted: store.granted}
}

// Restore goes back to the snapshot, as a service does that was restored from a backup:
// what was written since is gone, and its revisions and leases are given out again.
// Watches are broken off.
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
	maps.Copy(store.leaseOfKey, kept.byLease)
	store.leases = map[int64]*activeLease{}
	for id, ttl := range kept.leases {
		store.leases[id] = &activeLease{ttl: ttl, until: time.Now().Add(ttl)}
		time.AfterFunc(ttl+time.Millisecond, store.expireNow)
	}
	store.revision, store.granted = kept.revision, kept.granted
	store.log = nil
	store.compactedTo = store.revision
	close(store.changed)
	store.changed = make(chan struct{})
}

// Era returns how often the store has come back from a snapshot.
func (store *Store) Era() int64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.era
}

// Record returns a key's record; one with revision 0 if there is none.
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

// List returns the records below the prefix, sorted by key, and the revision.
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

// Changes waits for changes below the prefix after the revision. It returns a
// HistoryGoneError when they are forgotten.
func (store *Store) Changes(ctx context.Context, prefix string, since shedkeel.Revision, wait time.Duration) ([]shedkeel.Record, shedkeel.Revision, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	store.mutex.Lock()
	store.counts.Watches++
	store.mutex.Unlock()
	for {
		store.mutex.Lock()
		store.expire()
		gone := since.Number < store.compactedTo || since.Number > store.revision
		at, changed := store.currentRevision(), store.changed
		var matching []shedkeel.Record
		for _, record := range store.log {
			if record.Revision.Number > since.Number && strings.HasPrefix(record.Key, prefix) {
				matching = append(matching, record)
			}
		}
		store.mutex.Unlock()
		if gone {
			return nil, at, &shedkeel.HistoryGoneError{Since: since}
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

// Forget drops the history of changes.
func (store *Store) Forget() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.log = nil
	store.compactedTo = store.revision
	close(store.changed)
	store.changed = make(chan struct{})
}

// currentRevision returns the revision that the store has reached. The mutex is held.
func (store *Store) currentRevision() shedkeel.Revision {
	return shedkeel.Revision{Era: store.era, Number: store.revision}
}

// Commit makes all changes or none. As the service does, it knows no eras of
// revisions and leases. Its error is a ConflictError or a
// LeaseGoneError.
func (store *Store) Commit(change shedkeel.Change) (shedkeel.Revision, error) {
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
			return store.currentRevision(), &shedkeel.LeaseGoneError{}
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

// remove removes keys at the present revision. The mutex is held.
func (store *Store) remove(keys []string) {
	for _, key := range keys {
		if _, found := store.data[key]; !found {
			continue
		}
		delete(store.data, key)
		delete(store.leaseOfKey, key)
		store.appendChange(shedkeel.Record{Key: key, Revision: store.currentRevision(), Gone: true})
	}
}

// Grant makes a lease.
func (store *Store) Grant(ttl time.Duration) shedkeel.LeaseID {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.counts.Writes++
	store.granted++
	store.leases[store.granted] = &activeLease{ttl: ttl, until: time.Now().Add(ttl)}
	time.AfterFunc(ttl+time.Millisecond, store.expireNow)
	return shedkeel.LeaseID{Era: store.era, Number: store.granted}
}

// Renew makes a lease last anew. It returns a LeaseGoneError if it is over.
func (store *Store) Renew(lease shedkeel.LeaseID) (time.Duration, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	store.counts.Reads++
	active := store.leases[lease.Number]
	if active == nil {
		return 0, &shedkeel.LeaseGoneError{}
	}
	active.until = time.Now().Add(active.ttl)
	time.AfterFunc(active.ttl+time.Millisecond, store.expireNow)
	return active.ttl, nil
}

// Release ends a lease.
func (store *Store) Release(lease shedkeel.LeaseID) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.counts.Writes++
	if known := store.leases[lease.Number]; known != nil {
		known.until = time.Time{}
	}
	store.expire()
}

func (store *Store) expireNow() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
}

// expire ends the leases that have run out and removes their keys. The mutex
// is held.
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

// Pass applies the faults that hold for any call, and reports whether the call
// may go on.
func (store *Store) Pass(writer http.ResponseWriter, request *http.Request) bool {
	return store.faults.applyCommon(writer, request)
}

// LosesReply reports whether the reply to this write is to be lost.
func (store *Store) LosesReply() bool {
	return store.faults.consume(func(faults *Faults) *int { return &faults.LoseReplies })
}

// FaultHandler takes the faults that are posted.
func (store *Store) FaultHandler() http.Handler { return &store.faults }
