package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// Renewals is the renewal source of a commitlog.Renewer. It renews rows and
// replies and retires those whose declared result retention has ended.
type Renewals struct {
	stream *commitlog.Stream
	fold   *Fold
	now    func() time.Time
}

var _ commitlog.RenewalSource = (*Renewals)(nil)

// NewRenewals returns the renewal source of a fold and its stream.
func NewRenewals(stream *commitlog.Stream, fold *Fold) *Renewals {
	return &Renewals{stream: stream, fold: fold, now: time.Now}
}

// Renewals implements commitlog.RenewalSource.
func (r *Renewals) Renewals(ctx context.Context, before commitlog.Offset, limit int) ([]commitlog.Entry, error) {
	seen := r.stream.NextOffset()
	rows, replies := r.fold.dueForRenewal(before, limit)
	var out []commitlog.Entry
	for _, row := range rows {
		e, err := r.renewRow(ctx, row, seen)
		if err != nil {
			return out, err
		}
		out = append(out, e)
	}
	for _, d := range replies {
		e, err := r.renewReply(ctx, d)
		if err != nil {
			return out, err
		}
		out = append(out, e)
	}
	return out, nil
}

// renewRow returns the entry that renews or retires a row. A row whose response
// is lost stays complete without one, because its request must not be dispatched
// again.
func (r *Renewals) renewRow(ctx context.Context, row Row, seen commitlog.Offset) (commitlog.Entry, error) {
	if row.Phase != Held && row.Expired(r.now()) {
		return commitlog.NewEntry(KindRetire, Retire{Workspace: row.Claim.Workspace, Key: row.Claim.Key, Seen: seen})
	}
	renewal := Renewal{Claim: row.Claim, Phase: row.Phase, Version: row.Version, Claimed: row.Claimed, Seen: seen}
	if row.Phase == Complete {
		resp, err := loadResponse(ctx, r.stream, row.ResponsePos)
		if err != nil && !errors.Is(err, commitlog.ErrNotRetained) {
			return commitlog.Entry{}, err
		}
		renewal.Response = resp
	}
	return commitlog.NewEntry(KindRenewal, renewal)
}

func (r *Renewals) renewReply(ctx context.Context, d dueReply) (commitlog.Entry, error) {
	retire := Retire{Workspace: d.id.workspace, ID: d.id.name, Version: d.reply.Version}
	if expired(d.reply.At, d.reply.RetentionSeconds, r.now()) {
		return commitlog.NewEntry(KindRetire, retire)
	}
	reply, err := loadReply(ctx, r.stream, d.reply.RecordPos)
	if errors.Is(err, commitlog.ErrNotRetained) {
		return commitlog.NewEntry(KindRetire, retire)
	}
	if err != nil {
		return commitlog.Entry{}, err
	}
	reply.Version = d.reply.Version
	return commitlog.NewEntry(KindReply, reply)
}

type dueReply struct {
	id    rowID
	reply StoredReply
}

// dueForRenewal returns up to limit rows and replies that are retained only by
// records below before.
func (f *Fold) dueForRenewal(before commitlog.Offset, limit int) ([]Row, []dueReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []Row
	for _, row := range f.rows {
		if len(rows) == limit {
			return rows, nil
		}
		if row.RetainedBy < before {
			rows = append(rows, *row)
		}
	}
	var replies []dueReply
	for id, reply := range f.replies {
		if len(rows)+len(replies) == limit {
			break
		}
		if reply.RecordPos.Offset < before {
			replies = append(replies, dueReply{id, *reply})
		}
	}
	return rows, replies
}

// loadEntry reads one entry of a stream from the log again.
func loadEntry(ctx context.Context, s *commitlog.Stream, pos commitlog.Position) (commitlog.Entry, error) {
	entries, err := s.Load(ctx, pos.Offset)
	if err != nil {
		return commitlog.Entry{}, err
	}
	if pos.Index >= len(entries) {
		return commitlog.Entry{}, errors.Wrapf(ErrNoResponse, "offset %d has no entry %d", pos.Offset, pos.Index)
	}
	return entries[pos.Index], nil
}

func loadResponse(ctx context.Context, s *commitlog.Stream, pos commitlog.Position) (Response, error) {
	e, err := loadEntry(ctx, s, pos)
	if err != nil {
		return Response{}, err
	}
	switch e.Kind {
	case KindOutcome:
		var o Outcome
		err = e.Decode(&o)
		return o.Response, err
	case KindUnclaimedResponse:
		var u UnclaimedResponse
		err = e.Decode(&u)
		return u.Response, err
	case KindRenewal:
		var r Renewal
		err = e.Decode(&r)
		return r.Response, err
	}
	return Response{}, ErrNoResponse
}

func loadReply(ctx context.Context, s *commitlog.Stream, pos commitlog.Position) (Reply, error) {
	e, err := loadEntry(ctx, s, pos)
	if err != nil {
		return Reply{}, err
	}
	var r Reply
	if e.Kind != KindReply {
		return r, ErrNoResponse
	}
	err = e.Decode(&r)
	return r, err
}
