package serve

import (
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/timer"
)

const (
	// startTime is for how long after its start a process may lack what it is
	// about to learn: after an outage of the key-value service, backend servers
	// are listed again within two seconds of its return.
	startTime = 3 * time.Second
	// startWait is how long a request is held at most meanwhile. Callers repeat
	// a refused request once or twice only, and all processes of a fleet may be
	// starting.
	startWait = time.Second
	// startTick is how often a held request looks again.
	startTick = 10 * time.Millisecond
)

// await holds the request while the process has just started and is not ready
// for it.
func (life *life) await(ready func() bool) {
	for !ready() && life.mayWait() {
		timer.Sleep(life.request.Context(), startTick)
	}
}

func (life *life) mayWait() bool {
	now := life.front.Timers.Now()
	until := life.began + startWait
	if life.call.Deadline > 0 {
		until = min(until, life.began+life.call.Deadline)
	}
	if life.limit > 0 { // its route is known
		until = min(until, life.limit)
	}
	starting := now-life.front.Began < startTime
	return starting && now < until && life.request.Context().Err() == nil && !life.front.refusing.Load()
}

// hasView reports whether a configuration is known.
func (life *life) hasView() bool { return life.front.Believe().View != nil }

// hasServer reports whether the request may be sent anywhere.
func (life *life) hasServer() bool {
	return life.front.Table.Load(life.service, life.model(), life.front.Timers.Now()).Usable > 0
}

// model is the model that the request's service runs for it; "": a plain
// service.
func (life *life) model() shedkeel.ModelID {
	if service := life.view.Service(life.service); service == nil || service.Engine == nil {
		return ""
	}
	return life.call.Model
}
