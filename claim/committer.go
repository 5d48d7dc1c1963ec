package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/platform"
)

const (
	// sealAt is how many claims a head holds before they are sealed into a
	// segment: about 400 KB, well within the service's megabyte.
	sealAt = 2000
	// maxTries bounds how often a batch is tried against other writers.
	maxTries = 5
	// maxBatch bounds how many requests one write decides.
	maxBatch = 1000
	// queueLength bounds how many requests wait; more are refused at once.
	queueLength = 4000
)

// Committer decides the requests of one shard in batches, one write each.
type Committer struct {
	Store     shedkeel.Store
	Prefix    string // of the shard's keys
	Batch     time.Duration
	Retention time.Duration
	Nonce     func() string    // a new name for each write
	Wall      func() time.Time // to forget old claims by

	queue chan waiting
	book  *book
	// revision of the head; unknown is set when the head must be read.
	revision shedkeel.Revision
	unknown  bool
}

type waiting struct {
	request Request
	answer  chan decided
}

type decided struct {
	result Result
	err    error
}

// NewCommitter returns a committer whose fields are still to be set.
func NewCommitter() *Committer {
	return &Committer{queue: make(chan waiting, queueLength), book: newBook(), unknown: true}
}

// Claim asks for the right to run a call and waits for the write that grants
// it. With an UnavailableError nothing was granted that the attempt may use;
// the claim may stand all the same, so the attempt must never run.
func (committer *Committer) Claim(ctx context.Context, request Request) (Result, error) {
	waiting := waiting{request: request, answer: make(chan decided, 1)}
	select {
	case committer.queue <- waiting:
	default:
		return Result{}, &shedkeel.UnavailableError{What: "claims", RetryAfter: time.Second, Cause: errors.New("too many wait")}
	}
	select {
	case decided := <-waiting.answer:
		return decided.result, decided.err
	case <-ctx.Done():
		return Result{}, &shedkeel.UnavailableError{What: "claims", RetryAfter: time.Second, Cause: ctx.Err()}
	}
}

// Run decides requests until the context ends.
func (committer *Committer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-committer.queue:
			batch := committer.collect(first)
			committer.commit(ctx, batch)
			committer.rest(ctx)
		}
	}
}

// collect takes what waits behind the first request.
func (committer *Committer) collect(first waiting) []waiting {
	batch := []waiting{first}
	for len(batch) < maxBatch {
		select {
		case next := <-committer.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// rest keeps to the least time between two writes. The first request after a
// quiet time does not wait.
func (committer *Committer) rest(ctx context.Context) {
	timer := time.NewTimer(committer.Batch)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// commit decides a batch. Requests that need no write are answered also when
// the service is away, from what is known: a claim that stands is never taken
// back but by InsteadOf.
func (committer *Committer) commit(ctx context.Context, batch []waiting) {
	var err error
	for range maxTries {
		if committer.unknown {
			if err = committer.load(ctx); err != nil {
				break
			}
		}
		committer.book.begin()
		results := make([]Result, len(batch))
		for index, waiting := range batch {
			results[index] = committer.book.decide(waiting.request, committer.minute())
		}
		if len(committer.book.unsaved) > 0 {
			err = committer.write(ctx)
			var conflict *shedkeel.ConflictError
			if errors.As(err, &conflict) {
				continue
			}
			if err != nil {
				break
			}
		}
		for index, waiting := range batch {
			waiting.answer <- decided{result: results[index]}
		}
		return
	}
	committer.refuse(batch, err)
}

func (committer *Committer) refuse(batch []waiting, err error) {
	refusal := &shedkeel.UnavailableError{What: "claims", RetryAfter: 2 * time.Second, Cause: err}
	for _, waiting := range batch {
		waiting.answer <- decided{err: refusal}
	}
}

func (committer *Committer) minute() int64 { return committer.Wall().Unix() / 60 }

func (committer *Committer) headKey() string { return committer.Prefix + "head" }

// load reads the head and the segments not yet known.
func (committer *Committer) load(ctx context.Context) error {
	record, err := committer.Store.Get(ctx, committer.headKey())
	if err != nil {
		return err
	}
	var head Head
	if record.Revision.Exists() {
		if err := json.Unmarshal(record.Value, &head); err != nil {
			return &shedkeel.InvalidError{Where: "key " + record.Key, What: err.Error(), Remedy: "restore the key; claims are refused until then"}
		}
	}
	if head.Generation < committer.book.head.Generation {
		head = committer.book.rescue(head)
	}
	for _, segment := range committer.book.adopt(head) {
		if err := committer.loadSegment(ctx, segment); err != nil {
			return err
		}
	}
	committer.revision = record.Revision
	committer.unknown = false
	return nil
}

func (committer *Committer) loadSegment(ctx context.Context, segment Segment) error {
	record, err := committer.Store.Get(ctx, segment.Key)
	if err != nil {
		return err
	}
	var claims []Claim
	if err := json.Unmarshal(record.Value, &claims); err != nil {
		return &shedkeel.InvalidError{Where: "key " + segment.Key, What: err.Error(), Remedy: "restore the key; claims are refused until then"}
	}
	for _, claim := range claims {
		if _, newer := committer.book.claims[claim.Key]; !newer {
			committer.book.claims[claim.Key] = claim
		}
	}
	committer.book.sealed[segment.Key] = true
	return nil
}

// write makes the batch stand.
func (committer *Committer) write(ctx context.Context) error {
	nonce := committer.Nonce()
	next := committer.book.next(nonce)
	dropped := next.expire(committer.minute(), committer.Retention)
	if len(next.Claims) > sealAt {
		if err := committer.seal(ctx, &next); err != nil {
			committer.unknown = true
			return err
		}
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	mine := func(stored []byte) bool {
		var head Head
		return json.Unmarshal(stored, &head) == nil && head.Nonce == nonce
	}
	revision, err := platform.SettleSwap(ctx, committer.Store, committer.headKey(), committer.revision, value, mine)
	if err != nil {
		committer.unknown = true
		return err
	}
	committer.revision = revision
	committer.keep(next)
	committer.empty(ctx, dropped)
	return nil
}

// keep takes the head just written.
func (committer *Committer) keep(head Head) {
	for key, claim := range committer.book.unsaved {
		committer.book.claims[key] = claim
	}
	for _, segment := range head.Sealed {
		committer.book.sealed[segment.Key] = true
	}
	committer.book.head = head
}

// seal moves the head's claims into a segment. The segment's key is new, so
// that a segment whose head was never written harms nobody.
func (committer *Committer) seal(ctx context.Context, head *Head) error {
	value, err := json.Marshal(head.Claims)
	if err != nil {
		return err
	}
	segment := Segment{Key: fmt.Sprintf("%ssegment-%d-%s", committer.Prefix, head.Generation, head.Nonce)}
	for _, claim := range head.Claims {
		segment.Newest = max(segment.Newest, claim.Minute)
	}
	if _, err := committer.Store.Swap(ctx, segment.Key, shedkeel.Revision{}, value); err != nil {
		return err
	}
	head.Sealed = append(head.Sealed, segment)
	head.Claims = nil
	return nil
}

// empty gives back the room of dropped segments and forgets their claims. A
// failure costs room only.
func (committer *Committer) empty(ctx context.Context, dropped []Segment) {
	for _, segment := range dropped {
		record, err := committer.Store.Get(ctx, segment.Key)
		if err != nil || !record.Revision.Exists() {
			continue
		}
		var claims []Claim
		if json.Unmarshal(record.Value, &claims) == nil {
			for _, claim := range claims {
				if committer.book.claims[claim.Key].Attempt == claim.Attempt {
					delete(committer.book.claims, claim.Key)
				}
			}
		}
		_, _ = committer.Store.Swap(ctx, segment.Key, record.Revision, []byte("[]"))
		delete(committer.book.sealed, segment.Key)
	}
}
