package keeper

import (
	"context"
	"errors"
	"strings"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/claim"
	"shedkeel.org/shedkeel/member"
	"shedkeel.org/shedkeel/wire"
)

// claimTime bounds how long a claim is waited for.
const claimTime = 3 * time.Second

// Handle answers the calls of other keepers and of the entry on this box.
func (keeper *Keeper) Handle(ctx context.Context, call *wire.Call) *wire.Reply {
	now := keeper.Timers.Now()
	switch kind := call.GetKind().(type) {
	case *wire.Call_Exchange:
		keeper.mutex.Lock()
		defer keeper.mutex.Unlock()
		return &wire.Reply{Kind: &wire.Reply_Exchange{Exchange: keeper.table.Answer(kind.Exchange, now)}}
	case *wire.Call_Sync:
		return &wire.Reply{Kind: &wire.Reply_Sync{Sync: keeper.sync(ctx, kind.Sync, now)}}
	case *wire.Call_Claim:
		return &wire.Reply{Kind: &wire.Reply_Claim{Claim: keeper.claim(ctx, kind.Claim)}}
	case *wire.Call_Answer:
		return &wire.Reply{Kind: &wire.Reply_Answer{Answer: keeper.answer(ctx, kind.Answer)}}
	}
	return &wire.Reply{Error: "unknown call; upgrade this process"}
}

// sync answers the entry on this box.
func (keeper *Keeper) sync(ctx context.Context, call *wire.SyncCall, now time.Duration) *wire.SyncReply {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.entry = wire.SessionOf(ctx)
	keeper.entryAs = call.GetIncarnation()
	keeper.synced = now
	if keeper.table.Self.Stopping != call.GetStopping() {
		keeper.table.Self.Stopping = call.GetStopping()
		keeper.table.Beat(now)
	}
	reply := keeper.table.AnswerEntry(call, now)
	reply.Settled = keeper.settled
	return reply
}

// claim decides a claim: at the keeper that writes the key's shard if it can
// be reached, else here. Either is safe; the first takes fewer writes.
func (keeper *Keeper) claim(ctx context.Context, call *wire.ClaimCall) *wire.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	key := claim.KeyOf(shedkeel.AccountID(call.GetAccount()), call.GetKey())
	shard := claim.ShardOf(key)
	owner := keeper.shardOwner(shard)
	if !call.GetForwarded() && owner.ID != keeper.Settings.Node {
		reply, err := keeper.forward(ctx, owner, call)
		var unavailable *shedkeel.UnavailableError
		if !errors.As(err, &unavailable) {
			return reply
		}
	}
	result, err := keeper.committers[shard].Claim(ctx, claim.Request{
		Key: key, Attempt: call.GetAttempt(), Holder: call.GetHolder(), Digest: call.GetDigest(), InsteadOf: call.GetInsteadOf(),
	})
	if err != nil {
		return &wire.ClaimReply{Status: wire.ClaimReply_UNAVAILABLE}
	}
	status := map[claim.Status]wire.ClaimReply_Status{
		claim.Granted: wire.ClaimReply_GRANTED, claim.Taken: wire.ClaimReply_TAKEN, claim.Mismatch: wire.ClaimReply_MISMATCH,
	}[result.Status]
	return &wire.ClaimReply{Status: status, Attempt: result.Claim.Attempt, Holder: result.Claim.Holder}
}

// shardOwner returns the keeper that should write a shard.
func (keeper *Keeper) shardOwner(shard int) shedkeel.Node {
	ranked := member.Rank("claims/"+claim.ShardName(shard), keeper.live(keeper.Timers.Now()))
	return ranked[0] // the keeper itself always counts as live
}

func (keeper *Keeper) forward(ctx context.Context, owner shedkeel.Node, call *wire.ClaimCall) (*wire.ClaimReply, error) {
	forwarded := &wire.ClaimCall{
		Account: call.GetAccount(), Key: call.GetKey(), Attempt: call.GetAttempt(), Holder: call.GetHolder(),
		InsteadOf: call.GetInsteadOf(), Digest: call.GetDigest(), Forwarded: true,
	}
	reply, err := keeper.peer(owner.Wire).Do(ctx, &wire.Call{Kind: &wire.Call_Claim{Claim: forwarded}})
	if err != nil {
		return &wire.ClaimReply{Status: wire.ClaimReply_UNAVAILABLE}, err
	}
	return reply.GetClaim(), nil
}

// answer finds the entry that ran an attempt and asks it what came of it.
func (keeper *Keeper) answer(ctx context.Context, call *wire.AnswerCall) *wire.AnswerReply {
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	unknown := &wire.AnswerReply{State: wire.AnswerReply_UNKNOWN}
	box, incarnation, _ := strings.Cut(call.GetHolder(), "/")
	keeper.mutex.Lock()
	session := keeper.entry
	here := keeper.entryAs == incarnation
	address := keeper.wireOf(shedkeel.NodeID(box))
	keeper.mutex.Unlock()
	forward := &wire.Call{Kind: &wire.Call_Answer{Answer: call}}
	var reply *wire.Reply
	var err error
	switch {
	case shedkeel.NodeID(box) != keeper.Settings.Node && address == "":
		return unknown
	case shedkeel.NodeID(box) != keeper.Settings.Node:
		reply, err = keeper.peer(address).Do(ctx, forward)
	case session == nil || session.Closed() || !here:
		return unknown
	default:
		reply, err = session.Do(ctx, forward)
	}
	if err != nil {
		return unknown
	}
	return reply.GetAnswer()
}

// wireOf returns the wire address of a node, or nothing. The mutex is held.
func (keeper *Keeper) wireOf(id shedkeel.NodeID) string {
	for _, state := range keeper.table.Nodes() {
		if state.Node.ID == id {
			return state.Node.Wire
		}
	}
	return ""
}
