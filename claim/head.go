// Package claim records in the platform's key-value service which attempt has claimed
// each call that must run at most once. Claims are spread over shards. The head record
// of a shard changes only by compare-and-swap, so that of two processes that grant the
// same key to different attempts at once, only one succeeds. Correctness does not
// depend on which processes write a shard. If only one process writes each shard,
// fewer writes conflict.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// Shards is the number of shards. A Committer waits for its BatchInterval after each
// batch, so more shards allow more batches a second in total.
const Shards = 4

// Request asks for the right to run a call.
type Request struct {
	Key       string // as KeyOf returns it
	Attempt   string // ID of the attempt; unique in the fleet
	Holder    string // the entry process that makes the attempt, as shedkeel.ClaimHolder names it
	Digest    string // digest of the call's content, to detect another call with the same Key
	InsteadOf string // ID of an attempt whose holder has confirmed that it will never run; this request may replace its claim. "": none
}

// Status is the decision on a request.
type Status int

// The decisions.
const (
	Granted  Status = iota + 1 // the attempt, and no other, may run the call
	Taken                      // another attempt holds the claim
	Mismatch                   // the key was claimed for a call with another digest
)

// Result is the decision on a request and the claim now in force for its key.
type Result struct {
	Status Status
	Claim  Claim
}

// Claim is the right of one attempt to run the call of one key, as stored in a
// record.
type Claim struct {
	Key     string `json:"k"`
	Attempt string `json:"a"`
	Holder  string `json:"h"`
	Digest  string `json:"d"`
	Minute  int64  `json:"t"` // when it was granted, in minutes since the Unix epoch by the writer's clock; the retention time counts from then
}

// Segment refers to a record that holds claims moved out of the head. The record
// does not change until the segment is removed from the head; see Head.expire.
type Segment struct {
	Key    string `json:"key"`
	Newest int64  `json:"newest"` // Minute of the segment's newest claim
}

// Head is the record of a shard that each batch with new claims changes. It holds the
// newest claims and lists the segments with older ones. Generation counts the writes;
// Nonce is unique to each write.
type Head struct {
	Generation uint64    `json:"generation"`
	Nonce      string    `json:"nonce"`
	Sealed     []Segment `json:"sealed"`
	Claims     []Claim   `json:"claims"`
}

// keyBytes is the length of the SHA-256 prefix that identifies a key. With 16 bytes, a
// chance collision within the retention time is practically impossible.
const keyBytes = 16

// KeyOf returns the name under which records store a client account's idempotency
// key. Equal keys of different accounts have different names.
func KeyOf(account shedkeel.AccountID, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(string(account) + "\x00" + idempotencyKey))
	return hex.EncodeToString(sum[:keyBytes])
}

// ShardOf returns the shard, from 0 to Shards-1, of a key that KeyOf returned. For a
// string that is not hexadecimal or is empty, it returns 0.
func ShardOf(key string) int {
	raw, err := hex.DecodeString(key)
	if err != nil || len(raw) == 0 {
		return 0
	}
	return int(raw[0]) % Shards
}

// ShardName returns the name of a shard, a letter from a on. It is used in record keys
// and in the choice of the process that writes the shard.
func ShardName(shard int) string { return string(rune('a' + shard)) }

// shard holds the claims of a shard that one process knows.
type shard struct {
	head           Head             // the known head: the one last read or written, or merged by recoverClaims
	claims         map[string]Claim // by Key: the claims of the head and of loadedSegments
	loadedSegments map[string]bool  // keys of the segments whose claims are in claims
	pendingClaims  map[string]Claim // by Key: the claims granted in this try of the batch and not yet written
}

func newShard() *shard {
	return &shard{claims: map[string]Claim{}, loadedSegments: map[string]bool{}}
}

// beginBatch starts a try of a batch and discards the pending claims of the previous
// try.
func (shard *shard) beginBatch() { shard.pendingClaims = map[string]Claim{} }

// decide decides one request, given the known claims and those that the batch has granted
// so far, and adds a new claim to pendingClaims. A claimed key is granted only with the
// claim's digest, to the claim's attempt or to a request whose InsteadOf names it, which
// replaces the claim. nowMinute is the time in minutes since the Unix epoch.
func (shard *shard) decide(request Request, nowMinute int64) Result {
	current, found := shard.pendingClaims[request.Key]
	if !found {
		current, found = shard.claims[request.Key]
	}
	switch {
	case found && current.Digest != request.Digest:
		return Result{Status: Mismatch, Claim: current}
	case found && current.Attempt == request.Attempt:
		return Result{Status: Granted, Claim: current}
	case found && (request.InsteadOf == "" || current.Attempt != request.InsteadOf):
		return Result{Status: Taken, Claim: current}
	}
	claim := Claim{Key: request.Key, Attempt: request.Attempt, Holder: request.Holder, Digest: request.Digest, Minute: nowMinute}
	shard.pendingClaims[request.Key] = claim
	return Result{Status: Granted, Claim: claim}
}

// nextHead returns the head to write next: the known head with the pending claims
// added, which replace claims of the same keys in it.
func (shard *shard) nextHead(nonce string) Head {
	next := Head{Generation: shard.head.Generation + 1, Nonce: nonce, Sealed: slices.Clone(shard.head.Sealed)}
	for _, claim := range shard.head.Claims {
		if _, replaced := shard.pendingClaims[claim.Key]; !replaced {
			next.Claims = append(next.Claims, claim)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(shard.pendingClaims)) {
		next.Claims = append(next.Claims, shard.pendingClaims[key])
	}
	return next
}

// setHead sets the known head to one that was read from the key-value service, and adds
// its claims to claims. It returns the segments of the head that are not in
// loadedSegments.
func (shard *shard) setHead(head Head) (missing []Segment) {
	shard.head = head
	for _, segment := range head.Sealed {
		if !shard.loadedSegments[segment.Key] {
			missing = append(missing, segment)
		}
	}
	for _, claim := range head.Claims {
		shard.claims[claim.Key] = claim
	}
	return missing
}

// recoverClaims merges the known claims into a stored head that has a lower
// generation than the known head, because the key-value service was restored from
// older data. The result has the known generation, the stored head's claims, and the
// known claims for all other keys. The next write stores it.
func (shard *shard) recoverClaims(stored Head) Head {
	present := map[string]bool{}
	for _, claim := range stored.Claims {
		present[claim.Key] = true
	}
	recovered := stored
	recovered.Generation = shard.head.Generation
	recovered.Claims = slices.Clone(stored.Claims)
	for _, key := range slices.Sorted(maps.Keys(shard.claims)) {
		if !present[key] {
			recovered.Claims = append(recovered.Claims, shard.claims[key])
		}
	}
	return recovered
}

// expire removes from the head the segments whose newest claim is older than the
// retention time, and returns them. nowMinute is the current time in minutes since
// the Unix epoch.
func (head *Head) expire(nowMinute int64, retention time.Duration) (dropped []Segment) {
	oldest := nowMinute - int64(retention/time.Minute)
	kept := make([]Segment, 0, len(head.Sealed))
	for _, segment := range head.Sealed {
		if segment.Newest < oldest {
			dropped = append(dropped, segment)
			continue
		}
		kept = append(kept, segment)
	}
	head.Sealed = kept
	return dropped
}
