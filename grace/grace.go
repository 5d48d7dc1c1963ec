// Package grace decides which requests a process that stops may still pass on to servers. It answers callers that send
// slowly, or keep sending, while their process has a last few seconds: what can't be answered in these is refused at once, so that
// the caller asks another process, and nothing that can be is turned away.
package grace

import (
	"slices"
	"sync"
	"time"
)

const (
	// samplesPerClass is how many of the latest answers of a class of requests are remembered.
	samplesPerClass = 64
	// maxClasses bounds the classes. Beyond it, all are forgotten.
	maxClasses = 4096
	// quantile is the fraction of the remembered answers that a request is expected not to take longer than.
	quantile = 0.95
)

// Answers remembers how long recent requests took, by class, such as a route. The zero value is empty. It is safe for
// concurrent use.
type Answers struct {
	mutex   sync.Mutex
	classes map[string]*class
}

// class is a ring of samples.
type class struct {
	samples []sample
	next    int // index of the oldest sample once the ring is full
}

// sample is one answered request.
type sample struct {
	took time.Duration // from when it was passed on until its answer was complete
	size int           // that it could have at most, for example in tokens; at least 1
}

// Record records an answered request.
func (answers *Answers) Record(name string, size int, took time.Duration) {
	answers.mutex.Lock()
	defer answers.mutex.Unlock()
	known := answers.classes[name]
	if known == nil {
		if answers.classes == nil || len(answers.classes) >= maxClasses {
			answers.classes = map[string]*class{}
		}
		known = &class{}
		answers.classes[name] = known
	}
	added := sample{took: took, size: max(size, 1)}
	if len(known.samples) < samplesPerClass {
		known.samples = append(known.samples, added)
		return
	}
	known.samples[known.next] = added
	known.next = (known.next + 1) % samplesPerClass
}

// Expect returns how long a request of the class and size will take at most, with the quantile as its certainty, or false if
// nothing is known of the class. An answer of a smaller request counts in proportion.
func (answers *Answers) Expect(name string, size int) (time.Duration, bool) {
	answers.mutex.Lock()
	defer answers.mutex.Unlock()
	known := answers.classes[name]
	if known == nil {
		return 0, false
	}
	var expected []time.Duration
	for _, sample := range known.samples {
		took := sample.took
		if size > sample.size {
			took = time.Duration(float64(took) * float64(size) / float64(sample.size))
		}
		expected = append(expected, took)
	}
	slices.Sort(expected)
	return expected[int(quantile*float64(len(expected)-1)+0.5)], true
}

// Leave is the end of a process.
type Leave struct {
	At time.Duration // when its requests are aborted
}

// Latest returns until when a request may be passed on to a server, if it is expected to take as long. limit is how long its
// caller waits for it at most; it counts if nothing is known, or if it is shorter.
func (leave Leave) Latest(expected time.Duration, known bool, limit time.Duration) time.Duration {
	if !known || limit < expected {
		expected = limit
	}
	return leave.At - expected
}
