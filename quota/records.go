package quota

import (
	"cmp"
	"slices"
)

// maxAddresses is how many addresses of clients are counted for one record; further ones are not named.
const maxAddresses = 64

// Record counts the clients that have met a limit since the last Take.
type Record struct {
	Listener string
	Limit    Limit
	Refused  int64 // requests that were answered with a status that says that they have not run
	Cut      int64 // connections that were closed
	// Address is the address of the clients that met the limit most often, and Times how often.
	Address string
	Times   int64
}

// records are the counts since the last Take.
type records struct {
	counts map[recordKey]*count
}

// recordKey is what is counted apart.
type recordKey struct {
	listener string
	limit    Limit
}

// count is one count.
type count struct {
	refused, cut int64
	addresses    map[string]int64
}

// add counts a client.
func (records *records) add(client *Client, limit Limit, refused bool) {
	if records.counts == nil {
		records.counts = map[recordKey]*count{}
	}
	key := recordKey{listener: client.Listener.Name, limit: limit}
	found := records.counts[key]
	if found == nil {
		found = &count{addresses: map[string]int64{}}
		records.counts[key] = found
	}
	if refused {
		found.refused++
	} else {
		found.cut++
	}
	if _, known := found.addresses[client.Address]; known || len(found.addresses) < maxAddresses {
		found.addresses[client.Address]++
	}
}

// Refuse counts a client that the caller refuses or cuts.
func (ledger *Ledger) Refuse(client *Client, limit Limit, refused bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.records.add(client, limit, refused)
}

// Take returns the records since the last call, in the order of their listeners and limits.
func (ledger *Ledger) Take() []Record {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	var taken []Record
	for key, count := range ledger.records.counts {
		record := Record{Listener: key.listener, Limit: key.limit, Refused: count.refused, Cut: count.cut}
		for address, times := range count.addresses {
			if times > record.Times || times == record.Times && address < record.Address {
				record.Address, record.Times = address, times
			}
		}
		taken = append(taken, record)
	}
	ledger.records.counts = nil
	slices.SortFunc(taken, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Listener, b.Listener), cmp.Compare(a.Limit, b.Limit))
	})
	return taken
}

// Usage is what the clients of a process hold.
type Usage struct {
	Requests    int64          // bytes of Plan.Requests
	Connections map[string]int // by listener, without processes of the fleet
}

// Usage returns what the clients hold now.
func (ledger *Ledger) Usage() Usage {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	usage := Usage{Requests: ledger.held, Connections: map[string]int{}}
	for name, place := range ledger.places {
		usage.Connections[name] = place.count
	}
	return usage
}
