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

// claimTimeout is the time limit for one claim or answer call, including the forwarded
// call. It is shorter than claimTimeout in package entry, for which the entry waits
// for the reply.
const claimTimeout = 3 * time.Second

// Handle serves calls from other keepers and from the entry on this box. Its reply to
// a call of an unknown kind has only an Error.
func (keeper *Keeper) Handle(ctx context.Context, call *wire.Call) *wire.Reply {
	now := keeper.Timers.Now()
	switch kind := call.GetKind().(type) {
	case *wire.Call_Exchange:
		keeper.mutex.Lock()
		defer keeper.mutex.Unlock()
		return &wire.Reply{Kind: &wire.Reply_Exchange{Exchange: keeper.table.HandleExchange(kind.Exchange, now)}}
	case *wire.Call_Sync:
		return &wire.Reply{Kind: &wire.Reply_Sync{Sync: keeper.handleSync(ctx, kind.Sync, now)}}
	case *wire.Call_Claim:
		return &wire.Reply{Kind: &wire.Reply_Claim{Claim: keeper.handleClaim(ctx, kind.Claim)}}
	case *wire.Call_Answer:
		return &wire.Reply{Kind: &wire.Reply_Answer{Answer: keeper.handleAnswer(ctx, kind.Answer)}}
	}
	return &wire.Reply{Error: "unknown call; upgrade this process"}
}

// handleSync serves a sync call of the entry on this box. It stores the entry's
// session and incarnation, the time of the call and whether the entry is stopping. It
// returns the nodes, records and digests that are newer than the entry's, and whether
// this keeper is settled.
func (keeper *Keeper) handleSync(ctx context.Context, call *wire.SyncCall, now time.Duration) *wire.SyncReply {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.entrySession = wire.SessionFromContext(ctx)
	keeper.entryIncarnation = call.GetIncarnation()
	keeper.lastSync = now
	if keeper.table.Self.Stopping != call.GetStopping() {
		keeper.table.Self.Stopping = call.GetStopping()
		keeper.table.AdvanceHeartbeat(now)
	}
	reply := keeper.table.HandleSync(call, now)
	reply.Settled = keeper.settled
	return reply
}

// handleClaim decides a claim for an idempotency key, or forwards it to the keeper that
// should write the key's shard. Compare-and-swap makes a decision by any keeper safe;
// forwarding needs fewer writes. The status is UNAVAILABLE if forwarding has an unknown
// outcome or the committer here returns an error; the claim may then have been stored.
func (keeper *Keeper) handleClaim(ctx context.Context, call *wire.ClaimCall) *wire.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	key := claim.KeyOf(shedkeel.AccountID(call.GetAccount()), call.GetKey())
	shard := claim.ShardOf(key)
	owner := keeper.shardOwner(shard)
	if !call.GetForwarded() && owner.ID != keeper.Settings.Node {
		reply, err := keeper.forwardClaim(ctx, owner, call)
		var unavailable *shedkeel.UnavailableError
		// With an UnavailableError, the other keeper certainly did not receive the claim.
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

// shardOwner returns the keeper that should write the claims of a shard: of the live
// keepers in this keeper's table, the first that member.Rank gives for the shard.
func (keeper *Keeper) shardOwner(shard int) shedkeel.Node {
	ranked := member.Rank("claims/"+claim.ShardName(shard), keeper.liveNodes(keeper.Timers.Now()))
	return ranked[0] // never empty: this keeper always counts as live
}

// forwardClaim sends a claim to the owner of its shard. The Forwarded flag keeps the
// owner from forwarding it again. With an error, the status of the reply is
// UNAVAILABLE.
func (keeper *Keeper) forwardClaim(ctx context.Context, owner shedkeel.Node, call *wire.ClaimCall) (*wire.ClaimReply, error) {
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

// handleAnswer asks the entry that made an attempt for its result. If that entry is on
// another box, the call goes through that box's keeper. The state is UNKNOWN if that
// box is not a known node, if its entry has another incarnation now or no open session
// to its keeper, or if a call fails.
func (keeper *Keeper) handleAnswer(ctx context.Context, call *wire.AnswerCall) *wire.AnswerReply {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	unknown := &wire.AnswerReply{State: wire.AnswerReply_UNKNOWN}
	box, incarnation, _ := strings.Cut(call.GetHolder(), "/")
	keeper.mutex.Lock()
	session := keeper.entrySession
	sameIncarnation := keeper.entryIncarnation == incarnation
	address := keeper.wireAddress(shedkeel.NodeID(box))
	keeper.mutex.Unlock()
	forward := &wire.Call{Kind: &wire.Call_Answer{Answer: call}}
	var reply *wire.Reply
	var err error
	switch {
	case shedkeel.NodeID(box) != keeper.Settings.Node && address == "":
		return unknown
	case shedkeel.NodeID(box) != keeper.Settings.Node:
		reply, err = keeper.peer(address).Do(ctx, forward)
	case session == nil || session.Closed() || !sameIncarnation:
		return unknown
	default:
		reply, err = session.Do(ctx, forward)
	}
	if err != nil {
		return unknown
	}
	return reply.GetAnswer()
}

// wireAddress returns the wire address of a node, or "" if the node is unknown.
// The mutex must be held.
func (keeper *Keeper) wireAddress(id shedkeel.NodeID) string {
	for _, state := range keeper.table.Nodes() {
		if state.Node.ID == id {
			return state.Node.Wire
		}
	}
	return ""
}
