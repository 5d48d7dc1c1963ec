package node

import (
	"context"
	"log/slog"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/wire"
)

const (
	// lossTime is how long a group is avoided on the word of the node that
	// plans. It is told again each time the lost member is probed.
	lossTime = reviveEvery + reviveEvery/2
	// noticeTimeout bounds the sending of a notice.
	noticeTimeout = 500 * time.Millisecond
)

// suspect tells the node that plans that a group is silent here. It finds out
// whether a member is lost: a group that reads long prompts is silent too, and
// if each node told all others, all would leave it for those that remain.
func (peers *peers) suspect(group shedkeel.Assignment) {
	leader := peers.node.controller.leader()
	if leader == peers.node.Settings.Node {
		peers.node.controller.suspect(group)
		return
	}
	if peer := peers.peer(leader); peer != nil {
		go peer.runNotice(group, 0)
	}
}

// draining tells the node that plans that a backend server has said here that it
// drains: the planner may send it no requests, and its record may say otherwise.
func (peers *peers) draining(server shedkeel.InstanceID) {
	if peer := peers.peer(peers.node.controller.leader()); peer != nil {
		go peer.runNotify(&wire.NoticeCall{Draining: string(server)})
	}
}

// lost tells the other nodes that a group has lost a member.
func (peers *peers) lost(group shedkeel.Assignment) {
	for _, peer := range peers.all() {
		go peer.runNotice(group, lossTime)
	}
}

// runNotice sends one notice of a group, which is to be avoided for the time; 0 says
// that it is only suspected.
func (peer *peer) runNotice(group shedkeel.Assignment, avoid time.Duration) {
	peer.runNotify(&wire.NoticeCall{Group: string(group.Group), Epoch: group.Epoch, ForMs: uint32(avoid.Milliseconds())})
}

// runNotify sends a notice. One that is lost costs the other node the time to find out
// itself.
func (peer *peer) runNotify(notice *wire.NoticeCall) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	notice.Node = string(peer.node.Settings.Node)
	_, _ = peer.wire.Do(ctx, &wire.Call{Kind: &wire.Call_Notice{Notice: notice}})
}

func (peers *peers) takeNotice(notice *wire.NoticeCall) *wire.Reply {
	node := peers.node
	reply := &wire.Reply{Kind: &wire.Reply_Notice{Notice: &wire.NoticeReply{}}}
	if server := notice.GetDraining(); server != "" {
		if node.table.Drain(shedkeel.InstanceID(server)) {
			node.Log.Write(event.DrainingStated, slog.String("server", server), slog.String("from", notice.GetNode()))
		}
		return reply
	}
	group := shedkeel.Assignment{Group: shedkeel.GroupID(notice.GetGroup()), Epoch: notice.GetEpoch()}
	avoid := time.Duration(notice.GetForMs()) * time.Millisecond
	node.Log.Write(event.NoticeTaken, slog.String("from", notice.GetNode()), slog.String("group", notice.GetGroup()), slog.Uint64("epoch", notice.GetEpoch()), slog.Duration("avoid", avoid))
	if avoid > 0 {
		node.table.Avoid(group, node.Timers.Now(), avoid)
	} else {
		node.controller.suspect(group)
	}
	return reply
}
