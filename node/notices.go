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

// lost tells the other nodes that a group has lost a member.
func (peers *peers) lost(group shedkeel.Assignment) {
	for _, peer := range peers.all() {
		go peer.runNotice(group, lossTime)
	}
}

// runNotice sends one notice. The group is to be avoided for the time; 0 says
// that it is only suspected.
func (peer *peer) runNotice(group shedkeel.Assignment, avoid time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	notice := &wire.NoticeCall{Node: string(peer.node.Settings.Node), Group: string(group.Group), Epoch: group.Epoch, ForMs: uint32(avoid.Milliseconds())}
	// A notice that is lost costs the other node the time to find out itself.
	_, _ = peer.wire.Do(ctx, &wire.Call{Kind: &wire.Call_Notice{Notice: notice}})
}

func (peers *peers) takeNotice(notice *wire.NoticeCall) *wire.Reply {
	node := peers.node
	group := shedkeel.Assignment{Group: shedkeel.GroupID(notice.GetGroup()), Epoch: notice.GetEpoch()}
	avoid := time.Duration(notice.GetForMs()) * time.Millisecond
	node.Log.Write(event.NoticeTaken, slog.String("from", notice.GetNode()), slog.String("group", notice.GetGroup()), slog.Uint64("epoch", notice.GetEpoch()), slog.Duration("avoid", avoid))
	if avoid > 0 {
		node.table.Avoid(group, node.Timers.Now(), avoid)
	} else {
		node.controller.suspect(group)
	}
	return &wire.Reply{Kind: &wire.Reply_Notice{Notice: &wire.NoticeReply{}}}
}
