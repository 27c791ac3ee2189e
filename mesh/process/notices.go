package process

import (
	"context"
	"time"

	"trefoildock.example/crashguard"
	"trefoildock.example/wire"
)

// noticeTimeout bounds the delivery of a notice to one node, which takes 3 ms between zones.
const noticeTimeout = 500 * time.Millisecond

// sendNotice sends a notice to the owners of the service, each of which decides what its
// backend server runs. It does not wait for the store, which may be slow or away; the row
// of a crash is for nodes that start later or were cut off.
func (n *Node) sendNotice(notice crashguard.Notice) {
	call := &wire.Call{Body: &wire.Call_CrashNotice{CrashNotice: noticeToProto(notice)}}
	for name, m := range n.fleet.View().Nodes {
		if name == n.settings.Node || m.Backend == nil || m.Backend.Service != notice.Service {
			continue
		}
		go n.recovery.Do("crash notice", "", func() {
			ctx, cancel := context.WithTimeout(n.background, noticeTimeout)
			defer cancel()
			if _, err := n.links.Call(ctx, m.Address, call); err != nil {
				n.logger.Log("event", "crash notice not delivered", "node", m.Node, "about", notice.Event, "err", err)
			}
		})
	}
	if notice.Kind == crashguard.Crashed {
		n.fleet.RecordCrash(n.background, notice)
	}
}

func noticeToProto(n crashguard.Notice) *wire.CrashNotice {
	out := &wire.CrashNotice{Kind: uint32(n.Kind), Service: n.Service, Event: n.Event, RemainingUs: n.Remaining.Microseconds()}
	for _, q := range n.Requests {
		out.Requests = append(out.Requests, &wire.CrashSuspect{Fingerprint: q.Fingerprint[:], Trial: q.Trial, Blocked: q.Blocked})
	}
	return out
}

func noticeFromProto(n *wire.CrashNotice) crashguard.Notice {
	out := crashguard.Notice{
		Kind: crashguard.NoticeKind(n.GetKind()), Service: n.GetService(), Event: n.GetEvent(), Remaining: time.Duration(n.GetRemainingUs()) * time.Microsecond,
	}
	for _, s := range n.GetRequests() {
		q := crashguard.Involved{Trial: s.GetTrial(), Blocked: s.GetBlocked()}
		if copy(q.Fingerprint[:], s.GetFingerprint()) > 0 {
			out.Requests = append(out.Requests, q)
		}
	}
	return out
}
