package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"shedkeel.org/shedkeel"
)

// Store is a key-value service that speaks the part of the etcd v3 JSON API
// that shedkeel uses, and counts its calls. POST /snapshot keeps its data and
// POST /restore goes back to them.
type Store struct {
	faults   faultSwitch
	mutex    sync.Mutex
	revision int64
	data     map[string]shedkeel.Record
	kept     map[string]shedkeel.Record
	keptAt   int64
	changed  chan struct{} // closed at each change
	log      []shedkeel.Record
	counts   Counts
}

// Counts is how many calls a store has had.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{data: map[string]shedkeel.Record{}, changed: make(chan struct{})}
}

// Handler returns the store's HTTP side.
func (store *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", store.serveRange)
	mux.HandleFunc("POST /v3/kv/txn", store.serveTxn)
	mux.HandleFunc("POST /v3/watch", store.serveWatch)
	mux.Handle("POST /fault", &store.faults)
	mux.HandleFunc("POST /snapshot", func(http.ResponseWriter, *http.Request) { store.Snapshot() })
	mux.HandleFunc("POST /restore", func(http.ResponseWriter, *http.Request) { store.Restore() })
	mux.HandleFunc("GET /counts", func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, store.Counts()) })
	return mux
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
func (store *Store) Swap(_ context.Context, key string, revision int64, value []byte) (int64, error) {
	if store.faults.get().Outage {
		return 0, &shedkeel.UnavailableError{What: "store"}
	}
	written, swapped := store.swap(key, revision, value)
	if store.faults.use(func(faults *Faults) *int { return &faults.LoseReplies }) {
		return 0, &shedkeel.UnknownOutcomeError{What: "write"}
	}
	if !swapped {
		return 0, &shedkeel.ConflictError{What: "key " + key}
	}
	return written, nil
}

// Watch follows a prefix, for tests that need no HTTP.
func (store *Store) Watch(ctx context.Context, prefix string, seen func(shedkeel.Record)) error {
	from := 0
	for {
		store.mutex.Lock()
		news := slices.Clone(store.log[from:])
		from = len(store.log)
		changed := store.changed
		store.mutex.Unlock()
		for _, record := range news {
			if strings.HasPrefix(record.Key, prefix) {
				seen(record)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// SetFaults sets the faults in force.
func (store *Store) SetFaults(faults Faults) { store.faults.set(faults) }

func (store *Store) swap(key string, revision int64, value []byte) (int64, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.counts.Writes++
	if store.data[key].Revision != revision {
		return store.revision, false
	}
	store.revision++
	record := shedkeel.Record{Key: key, Value: value, Revision: store.revision}
	store.data[key] = record
	store.tell(record)
	return store.revision, true
}

// tell wakes the watches. The mutex is held.
func (store *Store) tell(record shedkeel.Record) {
	store.log = append(store.log, record)
	close(store.changed)
	store.changed = make(chan struct{})
}

// Snapshot keeps the data as they are.
func (store *Store) Snapshot() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.kept = map[string]shedkeel.Record{}
	for key, record := range store.data {
		store.kept[key] = record
	}
	store.keptAt = store.revision
}

// Restore goes back to the snapshot, with its revisions, as a service does
// that was restored from a backup. Watches are broken off.
func (store *Store) Restore() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.data = map[string]shedkeel.Record{}
	for key, record := range store.kept {
		store.data[key] = record
	}
	store.revision = store.keptAt
	store.log = append(store.log, shedkeel.Record{Revision: -1})
	close(store.changed)
	store.changed = make(chan struct{})
}

type storedValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision string `json:"mod_revision"`
}

func storedOf(record shedkeel.Record) storedValue {
	return storedValue{Key: []byte(record.Key), Value: record.Value, ModRevision: strconv.FormatInt(record.Revision, 10)}
}

type header struct {
	Revision string `json:"revision"`
}

func (store *Store) serveRange(writer http.ResponseWriter, request *http.Request) {
	if !store.faults.pass(writer, request) {
		return
	}
	var wanted struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end"`
	}
	if err := json.NewDecoder(request.Body).Decode(&wanted); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.counts.Reads++
	var found []storedValue
	for key, record := range store.data {
		inRange := len(wanted.RangeEnd) > 0 && key >= string(wanted.Key) && key < string(wanted.RangeEnd)
		if key == string(wanted.Key) || inRange {
			found = append(found, storedOf(record))
		}
	}
	slices.SortFunc(found, func(a, b storedValue) int { return strings.Compare(string(a.Key), string(b.Key)) })
	writeJSON(writer, struct {
		Header header        `json:"header"`
		KVs    []storedValue `json:"kvs"`
	}{header{strconv.FormatInt(store.revision, 10)}, found})
}

func (store *Store) serveTxn(writer http.ResponseWriter, request *http.Request) {
	if !store.faults.pass(writer, request) {
		return
	}
	var wanted struct {
		Compare []struct {
			Key         []byte `json:"key"`
			ModRevision string `json:"mod_revision"`
		} `json:"compare"`
		Success []struct {
			Put struct {
				Key   []byte `json:"key"`
				Value []byte `json:"value"`
			} `json:"request_put"`
		} `json:"success"`
	}
	if err := json.NewDecoder(request.Body).Decode(&wanted); err != nil || len(wanted.Compare) != 1 || len(wanted.Success) != 1 {
		http.Error(writer, "one compare and one put are needed", http.StatusBadRequest)
		return
	}
	revision, err := strconv.ParseInt(wanted.Compare[0].ModRevision, 10, 64)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	written, swapped := store.swap(string(wanted.Success[0].Put.Key), revision, wanted.Success[0].Put.Value)
	if store.faults.use(func(faults *Faults) *int { return &faults.LoseReplies }) {
		abort()
	}
	writeJSON(writer, struct {
		Header    header `json:"header"`
		Succeeded bool   `json:"succeeded"`
	}{header{strconv.FormatInt(written, 10)}, swapped})
}

type watchEvent struct {
	KV storedValue `json:"kv"`
}

func (store *Store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	if !store.faults.pass(writer, request) {
		return
	}
	var wanted struct {
		Create struct {
			Key           []byte `json:"key"`
			RangeEnd      []byte `json:"range_end"`
			StartRevision string `json:"start_revision"`
		} `json:"create_request"`
	}
	if err := json.NewDecoder(request.Body).Decode(&wanted); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	start, _ := strconv.ParseInt(wanted.Create.StartRevision, 10, 64)
	store.mutex.Lock()
	store.counts.Watches++
	from := len(store.log)
	for from > 0 && store.log[from-1].Revision >= start {
		from--
	}
	store.mutex.Unlock()
	_ = http.NewResponseController(writer).Flush()
	store.follow(writer, request, from, string(wanted.Create.Key), string(wanted.Create.RangeEnd))
}

// follow sends the changes of a range until the caller leaves or there is an
// outage.
func (store *Store) follow(writer http.ResponseWriter, request *http.Request, from int, first, end string) {
	for {
		store.mutex.Lock()
		news := slices.Clone(store.log[from:])
		from = len(store.log)
		changed := store.changed
		store.mutex.Unlock()
		var events []watchEvent
		for _, record := range news {
			if record.Revision < 0 {
				abort()
			}
			if record.Key >= first && record.Key < end {
				events = append(events, watchEvent{KV: storedOf(record)})
			}
		}
		if len(events) > 0 {
			if store.faults.get().Outage {
				abort()
			}
			var message struct {
				Result struct {
					Events []watchEvent `json:"events"`
				} `json:"result"`
			}
			message.Result.Events = events
			_ = json.NewEncoder(writer).Encode(message)
			_ = http.NewResponseController(writer).Flush()
		}
		select {
		case <-request.Context().Done():
			return
		case <-changed:
		}
	}
}
