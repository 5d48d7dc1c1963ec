package retry

import (
	"maps"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// Sharing determines which part this process has of what all processes of a fleet may do together in a
// window, from the lists of processes that it gets. No other process is asked, so that the parts must add
// up to at most the whole also while lists are old, lack processes, or differ:
//
//   - A part is held like a lease. The process gives it up Hold after its list was last confirmed, that is, known to be
//     current and to name the process itself.
//   - Whoever holds no part takes one only after its list has been confirmed for Hold, in which all others that hold
//     one have seen it listed or have given up theirs, and for Window, in which what they did with a larger part
//     has stopped to count.
//   - A process that is no longer listed is counted for as long, in which it has given up its part.
//
// So each process that holds a part counts all that do. Its methods are safe for concurrent use.
type Sharing struct {
	Self   shedkeel.NodeID
	Window time.Duration // in which actions count together
	Hold   time.Duration // for how long a part is held without a confirmed list

	mutex       sync.Mutex
	firstStart  bool
	confirmedAt time.Duration                     // as of when the latest list was confirmed; 0: none yet
	since       time.Duration                     // as of when the process is listed without a gap of more than Hold
	elapsed     time.Duration                     // total time for which lists were confirmed
	listed      map[shedkeel.NodeID]bool          // the latest list
	missing     map[shedkeel.NodeID]time.Duration // processes that are no longer listed: elapsed when they were last
}

const (
	// listDelay covers the time from when a list is current until it is confirmed.
	listDelay = time.Second
	// maxConfirmInterval is the longest time between two confirmations of a list that is followed without
	// interruption.
	maxConfirmInterval = 2500 * time.Millisecond
)

// SetFirstStart states that the fleet starts for the first time: nobody can hold a part by an older list. The part then
// grows over the first window, with the square of time, since processes that start together are listed within seconds.
func (sharing *Sharing) SetFirstStart() {
	sharing.mutex.Lock()
	defer sharing.mutex.Unlock()
	sharing.firstStart = sharing.confirmedAt == 0
}

// SetWindow changes Window.
func (sharing *Sharing) SetWindow(window time.Duration) {
	sharing.mutex.Lock()
	defer sharing.mutex.Unlock()
	sharing.Window = window
}

// settleTime is for how long a list must be confirmed before a part is taken, and a process must be missing
// before it isn't counted.
func (sharing *Sharing) settleTime() time.Duration {
	return sharing.Hold + sharing.Window + listDelay
}

// Update takes the processes that are listed now. The list was current at asOf or later.
func (sharing *Sharing) Update(listed map[shedkeel.NodeID]bool, asOf time.Duration) {
	sharing.mutex.Lock()
	defer sharing.mutex.Unlock()
	confirmed := asOf > sharing.confirmedAt && listed[sharing.Self]
	if confirmed {
		sharing.confirm(asOf)
	}
	if !maps.Equal(listed, sharing.listed) {
		sharing.replaceList(listed)
	}
	if !confirmed {
		return
	}
	for process, at := range sharing.missing {
		if sharing.elapsed-at > sharing.settleTime() {
			delete(sharing.missing, process)
		}
	}
}

// replaceList sets the list, and keeps the processes that it lacks as missing. The caller holds the mutex.
func (sharing *Sharing) replaceList(listed map[shedkeel.NodeID]bool) {
	if sharing.missing == nil {
		sharing.missing = map[shedkeel.NodeID]time.Duration{}
	}
	for process := range sharing.listed {
		if !listed[process] {
			sharing.missing[process] = sharing.elapsed
		}
	}
	for process := range listed {
		delete(sharing.missing, process)
	}
	sharing.listed = maps.Clone(listed)
}

// confirm records that the list was confirmed as of the time. The caller holds the mutex.
func (sharing *Sharing) confirm(asOf time.Duration) {
	gap := asOf - sharing.confirmedAt
	first := sharing.confirmedAt == 0
	sharing.confirmedAt = asOf
	switch {
	case first:
		sharing.since = asOf
	case gap > sharing.Hold:
		sharing.since = asOf
		sharing.firstStart = false
	case gap <= maxConfirmInterval:
		sharing.elapsed += gap
	}
}

// Share returns the part that this process has now.
func (sharing *Sharing) Share(now time.Duration) Share {
	sharing.mutex.Lock()
	defer sharing.mutex.Unlock()
	processes := len(sharing.listed) + len(sharing.missing)
	if _, missing := sharing.missing[sharing.Self]; !missing && !sharing.listed[sharing.Self] {
		processes++
	}
	return Share{Processes: processes, Part: sharing.part(now)}
}

// part returns which part of its share this process may use now. The caller holds the mutex.
func (sharing *Sharing) part(now time.Duration) float64 {
	age, listedFor := now-sharing.confirmedAt, now-sharing.since
	switch {
	case sharing.confirmedAt == 0:
		return 0
	case age <= sharing.Hold && listedFor >= sharing.settleTime():
		return 1
	case sharing.firstStart && age <= maxConfirmInterval:
		grown := min(float64(listedFor)/float64(sharing.Window), 1)
		return grown * grown
	}
	return 0
}
