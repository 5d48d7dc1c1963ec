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
	// sealThreshold is the number of claims in a head above which all of them move to a
	// segment. A claim takes about 200 bytes. A head with 2000 claims, and a segment
	// with these and a batch of maxBatch more, thus stay below the key-value service's
	// limit of 1 MB for a record.
	sealThreshold = 2000
	// maxTries limits the tries of a batch. A try decides the requests of the batch and
	// writes the head. The next try follows if that write conflicts with a write of
	// another process.
	maxTries = 5
	// maxBatch limits the requests in a batch.
	maxBatch = 1000
	// queueLength limits the requests waiting for a batch. Claim refuses a request
	// at once if the queue is full.
	queueLength = 4000
)

// Committer decides the requests for one shard in batches, and writes the head at most
// once for each try of a batch. Run must be running for requests to be decided. The
// exported fields must be set before Run and not changed afterwards.
type Committer struct {
	Store         shedkeel.Store
	Prefix        string           // prefix of the keys of the shard's records
	BatchInterval time.Duration    // minimum time from the end of a batch to the next one
	Retention     time.Duration    // minimum time for which claims are kept
	Nonce         func() string    // returns a new unique string for each write
	WallClock     func() time.Time // wall clock, for the expiry of claims

	queue chan pendingRequest
	shard *shard
	// revision is the revision of the head last read or written. headStale is set
	// if the head must be read before the next try to write a batch.
	revision  shedkeel.Revision
	headStale bool
}

// pendingRequest is a request in the queue and the channel for its outcome.
type pendingRequest struct {
	request Request
	answer  chan outcome
}

// outcome is the result of a request, or the error with which it was refused.
type outcome struct {
	result Result
	err    error
}

// NewCommitter returns a committer that knows no claims yet. The caller must set its
// exported fields.
func NewCommitter() *Committer {
	return &Committer{queue: make(chan pendingRequest, queueLength), shard: newShard(), headStale: true}
}

// Claim requests the right to run a call and waits until the request is decided and a
// granted claim is written. Every error is an UnavailableError; after an error, the
// attempt must never run, although its claim may have been stored. Claim may be called
// concurrently.
func (committer *Committer) Claim(ctx context.Context, request Request) (Result, error) {
	pending := pendingRequest{request: request, answer: make(chan outcome, 1)}
	select {
	case committer.queue <- pending:
	default:
		return Result{}, &shedkeel.UnavailableError{What: "claims", RetryAfter: time.Second, Cause: errors.New("the queue of claim requests is full")}
	}
	select {
	case outcome := <-pending.answer:
		return outcome.result, outcome.err
	case <-ctx.Done():
		return Result{}, &shedkeel.UnavailableError{What: "claims", RetryAfter: time.Second, Cause: ctx.Err()}
	}
}

// Run decides requests until the context ends. It must run only once at a time.
func (committer *Committer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-committer.queue:
			batch := committer.collectBatch(first)
			committer.commit(ctx, batch)
			committer.waitInterval(ctx)
		}
	}
}

// collectBatch returns the first request and those that are waiting in the queue,
// together at most maxBatch.
func (committer *Committer) collectBatch(first pendingRequest) []pendingRequest {
	batch := []pendingRequest{first}
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

// waitInterval waits for the minimum time between two batches or until the context
// ends. It runs after a batch, so that the first request after an idle time does not
// wait.
func (committer *Committer) waitInterval(ctx context.Context) {
	timer := time.NewTimer(committer.BatchInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// commit decides a batch and answers its requests. After a conflict it reads the head
// and decides again, up to maxTries times. If all tries conflict, or after another
// error, it refuses all requests.
func (committer *Committer) commit(ctx context.Context, batch []pendingRequest) {
	var err error
	for range maxTries {
		if committer.headStale {
			if err = committer.loadHead(ctx); err != nil {
				break
			}
		}
		committer.shard.beginBatch()
		results := make([]Result, len(batch))
		for index, pending := range batch {
			results[index] = committer.shard.decide(pending.request, committer.currentMinute())
		}
		// Without new claims the batch needs no write, so that it is answered even if the service
		// is not available. Such answers are safe even if another process has written the head: a
		// claim is replaced only by a request whose InsteadOf names its attempt, which never runs.
		if len(committer.shard.pendingClaims) > 0 {
			err = committer.writeHead(ctx)
			var conflict *shedkeel.ConflictError
			if errors.As(err, &conflict) {
				continue
			}
			if err != nil {
				break
			}
		}
		for index, pending := range batch {
			pending.answer <- outcome{result: results[index]}
		}
		return
	}
	committer.refuse(batch, err)
}

// refuse answers all requests of a batch with an UnavailableError.
func (committer *Committer) refuse(batch []pendingRequest, err error) {
	refusal := &shedkeel.UnavailableError{What: "claims", RetryAfter: 2 * time.Second, Cause: err}
	for _, pending := range batch {
		pending.answer <- outcome{err: refusal}
	}
}

// currentMinute returns the wall clock in minutes since the Unix epoch.
func (committer *Committer) currentMinute() int64 { return committer.WallClock().Unix() / 60 }

// headKey returns the key of the head's record.
func (committer *Committer) headKey() string { return committer.Prefix + "head" }

// loadHead reads the head and those of its segments that are not yet in memory. If the
// stored head is older than the known one, loadHead adds the known claims that the
// stored head lacks (see recoverClaims). After an error, headStale stays set.
func (committer *Committer) loadHead(ctx context.Context) error {
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
	if head.Generation < committer.shard.head.Generation {
		head = committer.shard.recoverClaims(head)
	}
	for _, segment := range committer.shard.setHead(head) {
		if err := committer.loadSegment(ctx, segment); err != nil {
			return err
		}
	}
	committer.revision = record.Revision
	committer.headStale = false
	return nil
}

// loadSegment reads the claims of a segment. For a key that already has a claim in
// memory, that claim stays.
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
		if _, known := committer.shard.claims[claim.Key]; !known {
			committer.shard.claims[claim.Key] = claim
		}
	}
	committer.shard.loadedSegments[segment.Key] = true
	return nil
}

// writeHead writes the head with the batch's claims by compare-and-swap against the known
// revision. It drops expired segments, and seals the head's claims if there are more than
// sealThreshold. After the write it updates the claims in memory; if a write fails, it sets
// headStale.
func (committer *Committer) writeHead(ctx context.Context) error {
	nonce := committer.Nonce()
	next := committer.shard.nextHead(nonce)
	dropped := next.expire(committer.currentMinute(), committer.Retention)
	if len(next.Claims) > sealThreshold {
		if err := committer.seal(ctx, &next); err != nil {
			committer.headStale = true
			return err
		}
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	writtenByUs := func(stored []byte) bool {
		var head Head
		return json.Unmarshal(stored, &head) == nil && head.Nonce == nonce
	}
	revision, err := platform.SwapWithReadback(ctx, committer.Store, committer.headKey(), committer.revision, value, writtenByUs)
	if err != nil {
		committer.headStale = true
		return err
	}
	committer.revision = revision
	committer.applyWrite(next)
	committer.clearSegments(ctx, dropped)
	return nil
}

// applyWrite records in memory that the head was written, with the batch's claims.
func (committer *Committer) applyWrite(head Head) {
	for key, claim := range committer.shard.pendingClaims {
		committer.shard.claims[key] = claim
	}
	for _, segment := range head.Sealed {
		committer.shard.loadedSegments[segment.Key] = true
	}
	committer.shard.head = head
}

// seal writes the head's claims to a new segment and replaces them in the head by a
// reference to it. The segment's key is unique, so a segment has no effect if the
// head that refers to it is never written.
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

// clearSegments removes the claims of dropped segments from memory, except those that
// another attempt's claim has replaced, and empties the segments' records to free
// space. It ignores errors: after an error, the claims only keep occupying memory and
// space in the key-value service.
func (committer *Committer) clearSegments(ctx context.Context, dropped []Segment) {
	for _, segment := range dropped {
		record, err := committer.Store.Get(ctx, segment.Key)
		if err != nil || !record.Revision.Exists() {
			continue
		}
		var claims []Claim
		if json.Unmarshal(record.Value, &claims) == nil {
			for _, claim := range claims {
				if committer.shard.claims[claim.Key].Attempt == claim.Attempt {
					delete(committer.shard.claims, claim.Key)
				}
			}
		}
		_, _ = committer.Store.Swap(ctx, segment.Key, record.Revision, []byte("[]"))
		delete(committer.shard.loadedSegments, segment.Key)
	}
}
