package transfer

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/mirror"
	"shedkeel.org/shedkeel/wire"
)

const (
	// copyKeep is for how long a whole copy that was compressed is told again,
	// though more has changed since: that is asked for next.
	copyKeep = 500 * time.Millisecond
	// copyMax bounds a whole copy, in bytes.
	copyMax = 32 << 20
)

// Copies compresses whole copies of a mirror for processes that know nothing, each
// once for all that ask within copyKeep. The zero value is ready for use.
type Copies struct {
	mutex  sync.Mutex
	made   time.Duration
	kept   mirror.Update // without its records
	packed []byte        // nil: none is kept
}

// Tell returns the update as it is sent, or an older one that is still good. Records
// that are alike compress well together.
func (copies *Copies) Tell(update mirror.Update, now time.Duration) *wire.RelayReply {
	copies.mutex.Lock()
	defer copies.mutex.Unlock()
	outdated := now-copies.made >= copyKeep && update.At != copies.kept.At || update.At.Era != copies.kept.At.Era
	if copies.packed == nil || outdated {
		copies.pack(update, now)
	}
	if copies.packed == nil {
		reply := Reply(update, now)
		reply.Records = plainRecords(update.Records)
		return reply
	}
	if copies.kept.At == update.At {
		copies.kept.AsOf = update.AsOf
	}
	reply := Reply(copies.kept, now)
	reply.Packed = copies.packed
	return reply
}

func (copies *Copies) pack(update mirror.Update, now time.Duration) {
	copies.packed = packRecords(plainRecords(update.Records))
	copies.made = now
	copies.kept = mirror.Update{Whole: update.Whole, At: update.At, AsOf: update.AsOf}
}

func plainRecords(records []shedkeel.Record) []*wire.StoreRecord {
	var plain []*wire.StoreRecord
	for _, record := range records {
		plain = append(plain, plainRecord(record))
	}
	return plain
}

// Records returns the records that a reply tells.
func Records(reply *wire.RelayReply) ([]*wire.StoreRecord, error) {
	if len(reply.GetPacked()) == 0 {
		return reply.GetRecords(), nil
	}
	text, err := Inflate(reply.GetPacked(), copyMax)
	if err != nil {
		return nil, err
	}
	var whole wire.RelayReply
	if err := proto.Unmarshal(text, &whole); err != nil {
		return nil, err
	}
	return whole.GetRecords(), nil
}

// Reply tells of an update, but for its records.
func Reply(update mirror.Update, now time.Duration) *wire.RelayReply {
	age := now - update.AsOf
	return &wire.RelayReply{Whole: update.Whole, Era: update.At.Era, At: update.At.Number, AgeMs: uint64(age.Milliseconds()) + 1, Known: true}
}
