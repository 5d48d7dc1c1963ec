// Package claim keeps, in the platform's key-value service, which calls that
// must not be repeated have been claimed, by which attempt. Claims are spread
// over shards; the claims of a shard are one record that changes only by
// compare-and-swap, so that two writers can never both grant one key. Who
// writes which shard is a matter of cost alone.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// Shards is how many records share the claims. More shards take more writes a
// second in all, since each is written at most once in a batch time.
const Shards = 4

// Request asks for the right to run a call.
type Request struct {
	Key       string // of KeyOf
	Attempt   string // names this try; unique in the fleet
	Holder    string // the entry that makes it
	Digest    string // of the request
	InsteadOf string // an attempt that its holder knows will never run
}

// Status is the answer to a request.
type Status int

// The answers.
const (
	Granted  Status = iota + 1 // the attempt, and no other, may run the call
	Taken                      // another attempt has the right
	Mismatch                   // the key was used for another request
)

// Result is the answer to a request and the claim that stands.
type Result struct {
	Status Status
	Claim  Claim
}

// Claim is one key's right, as it stands in a record.
type Claim struct {
	Key     string `json:"k"`
	Attempt string `json:"a"`
	Holder  string `json:"h"`
	Digest  string `json:"d"`
	Minute  int64  `json:"t"` // wall clock of the writer, to forget it by
}

// Segment is a full record of claims that does not change any more.
type Segment struct {
	Key    string `json:"key"`
	Newest int64  `json:"newest"` // minute of its newest claim
}

// Head is the record of a shard that changes.
type Head struct {
	Generation uint64    `json:"generation"`
	Nonce      string    `json:"nonce"`
	Sealed     []Segment `json:"sealed"`
	Claims     []Claim   `json:"claims"`
}

// keyBytes is how much of the SHA-256 names a key: enough that no two keys of
// the retention time meet by chance.
const keyBytes = 16

// KeyOf names a caller's key in records. Keys of different accounts differ.
func KeyOf(account shedkeel.AccountID, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(string(account) + "\x00" + idempotencyKey))
	return hex.EncodeToString(sum[:keyBytes])
}

// ShardOf returns the shard of a key of KeyOf.
func ShardOf(key string) int {
	raw, err := hex.DecodeString(key)
	if err != nil || len(raw) == 0 {
		return 0
	}
	return int(raw[0]) % Shards
}

// ShardName names a shard in keys and in the choice of who writes it.
func ShardName(shard int) string { return string(rune('a' + shard)) }

// book is a shard's claims in memory.
type book struct {
	head    Head
	claims  map[string]Claim // of the head and of all sealed segments
	sealed  map[string]bool  // keys of the segments that claims holds
	unsaved map[string]Claim // granted by the batch being made
}

func newBook() *book {
	return &book{claims: map[string]Claim{}, sealed: map[string]bool{}}
}

// begin forgets the batch that was being made.
func (book *book) begin() { book.unsaved = map[string]Claim{} }

// decide answers one request on top of the claims and the batch so far.
func (book *book) decide(request Request, minute int64) Result {
	standing, found := book.unsaved[request.Key]
	if !found {
		standing, found = book.claims[request.Key]
	}
	switch {
	case found && standing.Digest != request.Digest:
		return Result{Status: Mismatch, Claim: standing}
	case found && standing.Attempt == request.Attempt:
		return Result{Status: Granted, Claim: standing}
	case found && (request.InsteadOf == "" || standing.Attempt != request.InsteadOf):
		return Result{Status: Taken, Claim: standing}
	}
	claim := Claim{Key: request.Key, Attempt: request.Attempt, Holder: request.Holder, Digest: request.Digest, Minute: minute}
	book.unsaved[request.Key] = claim
	return Result{Status: Granted, Claim: claim}
}

// next returns the head that holds the batch too.
func (book *book) next(nonce string) Head {
	next := Head{Generation: book.head.Generation + 1, Nonce: nonce, Sealed: slices.Clone(book.head.Sealed)}
	for _, claim := range book.head.Claims {
		if _, replaced := book.unsaved[claim.Key]; !replaced {
			next.Claims = append(next.Claims, claim)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(book.unsaved)) {
		next.Claims = append(next.Claims, book.unsaved[key])
	}
	return next
}

// adopt takes a head that has been read or written, and reports which of its
// segments must still be read.
func (book *book) adopt(head Head) (missing []Segment) {
	book.head = head
	for _, segment := range head.Sealed {
		if !book.sealed[segment.Key] {
			missing = append(missing, segment)
		}
	}
	for _, claim := range head.Claims {
		book.claims[claim.Key] = claim
	}
	return missing
}

// rescue puts claims that were known here into a head that is older than the
// one known: the service was restored from older data.
func (book *book) rescue(older Head) Head {
	have := map[string]bool{}
	for _, claim := range older.Claims {
		have[claim.Key] = true
	}
	rescued := older
	rescued.Generation = book.head.Generation
	rescued.Claims = slices.Clone(older.Claims)
	for _, key := range slices.Sorted(maps.Keys(book.claims)) {
		if !have[key] {
			rescued.Claims = append(rescued.Claims, book.claims[key])
		}
	}
	return rescued
}

// expire drops the segments whose newest claim is older than the retention.
func (head *Head) expire(minute int64, retention time.Duration) (dropped []Segment) {
	oldest := minute - int64(retention/time.Minute)
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
