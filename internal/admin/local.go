package admin

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // time zones of sheets on machines without zone files

	"github.com/go-faster/errors"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
	"github.com/persimmoncart/persimmoncart/internal/order"
	"github.com/persimmoncart/persimmoncart/internal/route"
)

const (
	// sheetRetentionDays is the age, relative to a newly applied sheet, at which
	// older sheets are deleted. Every instance has all sheets in memory.
	sheetRetentionDays = 14
	maxHistoryVersions = 500 // in one reply
	maxApplyWait       = time.Minute
	waitPollInterval   = 500 * time.Millisecond
)

var _ Service = (*LocalService)(nil)

// LocalService implements Service with direct access to the store and, on an
// instance, to the other instances.
type LocalService struct {
	Claims    persimmoncart.Claims // nil if the service has no access to claims
	Editor    *config.Editor
	Instances *InstancePoller // nil if there is no instance to poll
	Timer     persimmoncart.Timer
}

// Apply implements Service.
func (l *LocalService) Apply(ctx context.Context, request ApplyRequest) (ApplyReply, error) {
	changes, _, err := l.requestedChanges(ctx, request)
	if err != nil {
		return ApplyReply{}, apiError(err)
	}
	for _, c := range changes {
		if request.Role < RoleAdmin && strings.HasPrefix(c.Key, string(config.KindAccount)+"/") {
			return ApplyReply{}, &Error{Code: CodeForbidden, Message: "changes of accounts need role admin: " + c.Key}
		}
	}
	r, err := l.Editor.Apply(ctx, config.Edit{Author: request.Author, Changes: changes, ID: request.ID, Note: request.Note})
	if err != nil {
		return ApplyReply{}, apiError(err)
	}
	return l.waitInForce(ctx, r, time.Duration(request.Wait)), nil
}

// Diff implements Service.
func (l *LocalService) Diff(ctx context.Context, request ApplyRequest) (DiffReply, error) {
	changes, c, err := l.requestedChanges(ctx, request)
	if err != nil {
		return DiffReply{}, apiError(err)
	}
	return DiffReply{Changes: apiChanges(changes), Version: c.Version}, nil
}

// History implements Service.
func (l *LocalService) History(ctx context.Context, from uint64, count int) (HistoryReply, error) {
	h, err := l.Editor.Repository.Head(ctx)
	if err != nil {
		return HistoryReply{}, apiError(err)
	}
	sets, err := l.Editor.Repository.History(ctx, h, from, min(max(count, 1), maxHistoryVersions))
	if err != nil {
		return HistoryReply{}, apiError(err)
	}
	out := HistoryReply{Versions: []VersionRecord{}}
	for _, s := range sets {
		out.Versions = append(out.Versions, VersionRecord{
			Time: s.Time, Author: s.Author, Changes: apiChanges(s.Changes), ID: s.ID, Note: s.Note, Version: s.Version,
		})
	}
	return out, nil
}

// Objects implements Service.
func (l *LocalService) Objects(ctx context.Context, kind, name string) (ObjectsReply, error) {
	prefix := ""
	if kind != "" {
		k, err := config.ParseKind(kind)
		if err != nil {
			return ObjectsReply{}, &Error{Code: CodeBadRequest, Message: err.Error()}
		}
		prefix = string(k) + "/"
	}
	c, err := l.readNewest(ctx)
	if err != nil {
		return ObjectsReply{}, apiError(err)
	}
	out := ObjectsReply{Objects: []Object{}, Version: c.Version}
	for _, k := range c.State.Keys() {
		if (name == "" && strings.HasPrefix(k, prefix)) || (name != "" && k == prefix+name) {
			out.Objects = append(out.Objects, Object{Key: k, Value: c.State.Get(k)})
		}
	}
	if name != "" && len(out.Objects) == 0 {
		return out, &Error{Code: CodeNotFound, Message: fmt.Sprintf("no %s%s in version %d", prefix, name, c.Version)}
	}
	return out, nil
}

// Outcome implements Service.
func (l *LocalService) Outcome(ctx context.Context, account, routeName, key string) (OutcomeReply, error) {
	if l.Claims == nil {
		return OutcomeReply{}, &Error{Code: CodeNotFound, Message: "this service has no access to claims"}
	}
	r, err := l.Claims.Outcome(ctx, route.ClaimKey(persimmoncart.AccountID(account), persimmoncart.RouteName(routeName), key))
	if missing := (&persimmoncart.NotFoundError{}); errors.As(err, &missing) {
		return OutcomeReply{}, &Error{Code: CodeNotFound, Message: fmt.Sprintf(
			"no record of key %q of account %s on route %s: the call was not sent, is about to be sent, or its record has expired", key, account, routeName)}
	}
	if err != nil {
		return OutcomeReply{}, apiError(err)
	}
	out := OutcomeReply{Time: r.Time, State: string(r.State)}
	switch r.State {
	case persimmoncart.ClaimAnswered:
		out.Outcome = persimmoncart.OutcomeAnswered.String()
	case persimmoncart.ClaimNotRun:
		out.Outcome = persimmoncart.OutcomeNotRun.String()
	default:
		out.Outcome = persimmoncart.OutcomeUnknown.String()
	}
	if r.Response != nil {
		out.Status = r.Response.Status
	}
	return out, nil
}

// Plan implements Service.
func (l *LocalService) Plan(ctx context.Context) (PlanReply, error) {
	out := PlanReply{Pools: []PoolPlan{}}
	objects, err := l.Objects(ctx, string(config.KindPool), "")
	if err != nil {
		return out, err
	}
	for _, o := range objects.Objects {
		name := strings.TrimPrefix(o.Key, string(config.KindPool)+"/")
		r, version, err := order.ReadPlan(ctx, l.Editor.Repository.Store, persimmoncart.PoolName(name))
		if err != nil {
			return out, apiError(err)
		}
		if version != 0 {
			out.Pools = append(out.Pools, PoolPlan{CreatedAt: r.CreatedAt, Pool: name, Shares: modelShares(r), Version: r.Version, Warning: r.Warning})
		}
	}
	return out, nil
}

// modelShares counts the engines of a plan by first model and role.
func modelShares(r order.PoolPlan) []ModelShare {
	counts := map[string]*ModelShare{}
	for _, d := range r.Desired {
		model := ""
		if len(d.Models) > 0 {
			model = string(d.Models[0])
		}
		if counts[model] == nil {
			counts[model] = &ModelShare{Model: model}
		}
		if d.Role == persimmoncart.RolePrefill {
			counts[model].Prefill++
		} else {
			counts[model].Decode++
		}
	}
	out := []ModelShare{}
	for _, model := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, *counts[model])
	}
	return out
}

// Rollback implements Service.
func (l *LocalService) Rollback(ctx context.Context, request RollbackRequest) (ApplyReply, error) {
	edit := config.Edit{Author: request.Author, ID: request.ID, Note: request.Note}
	r, err := l.Editor.Rollback(ctx, edit, request.Version, request.Only)
	if err != nil {
		return ApplyReply{}, apiError(err)
	}
	return l.waitInForce(ctx, r, time.Duration(request.Wait)), nil
}

// Status implements Service.
func (l *LocalService) Status(ctx context.Context) (StatusReply, error) {
	out := StatusReply{Store: "up"}
	h, err := l.Editor.Repository.Head(ctx)
	if err != nil {
		out.Store = "down"
	} else {
		out.Version = h.Version
	}
	if c, err := l.readNewest(ctx); err == nil {
		out.Version = max(out.Version, c.Version)
		for _, k := range c.State.Keys() {
			if day, ok := strings.CutPrefix(k, string(config.KindSheet)+"/"); ok {
				out.Sheet = max(out.Sheet, day)
			}
		}
	}
	if plan, err := l.Plan(ctx); err == nil {
		for _, p := range plan.Pools {
			if p.Warning != "" {
				out.Warnings = append(out.Warnings, "pool "+p.Pool+": "+p.Warning)
			}
		}
	}
	if l.Instances != nil {
		out.Instances = l.Instances.Poll(ctx, nil)
	} else if err != nil {
		return out, apiError(err)
	}
	for _, i := range out.Instances {
		out.Version = max(out.Version, i.Version)
	}
	out.Lagging = lagging(out.Instances, out.Version)
	return out, nil
}

// waitInForce waits until the version of an edit is in force on all live instances,
// but no longer than wait or maxApplyWait, and returns the reply.
func (l *LocalService) waitInForce(ctx context.Context, r config.EditResult, wait time.Duration) ApplyReply {
	out := ApplyReply{Changes: apiChanges(r.Changes), Version: r.Version}
	if wait <= 0 || l.Instances == nil {
		return out
	}
	end := l.Timer.Now().Add(min(wait, maxApplyWait))
	upToDate := map[string]bool{} // IDs of instances not polled again
	for {
		versions := l.Instances.Poll(ctx, upToDate)
		for _, i := range versions {
			upToDate[i.ID] = i.Version >= r.Version
		}
		out.Lagging = lagging(versions, r.Version)
		out.Waited = len(out.Lagging) == 0
		if out.Waited || !l.Timer.Now().Before(end) || l.Timer.Sleep(ctx, waitPollInterval) != nil {
			return out
		}
	}
}

// lagging returns the IDs of the instances below a version.
func lagging(instances []InstanceStatus, version uint64) []string {
	var out []string
	for _, i := range instances {
		if i.Version < version {
			out = append(out, i.ID)
		}
	}
	return out
}

// readNewest reads the newest configuration. Without the store it returns the
// configuration in force on this instance, if there is one.
func (l *LocalService) readNewest(ctx context.Context) (*config.VersionedState, error) {
	var base *config.VersionedState
	if l.Editor.Cached != nil {
		base = l.Editor.Cached()
	}
	h, err := l.Editor.Repository.Head(ctx)
	if err != nil {
		if base != nil && base.Version > 0 {
			return base, nil // in force on this instance
		}
		return nil, err
	}
	return l.Editor.Repository.Load(ctx, h, base)
}

// requestedChanges returns the changes from the request's base version to the content
// of its files, and the configuration that they were validated with. Applying a sheet
// also deletes expired sheets.
func (l *LocalService) requestedChanges(ctx context.Context, request ApplyRequest) ([]persimmoncart.ConfigChange, *config.VersionedState, error) {
	objects, issues := parseFiles(request.Files)
	if len(objects)+len(issues)+len(request.Delete) == 0 {
		return nil, nil, &Error{Code: CodeBadRequest, Message: "nothing to apply: no objects in the files and nothing to delete"}
	}
	for _, k := range request.Delete {
		if _, err := config.ParseKey(k); err != nil {
			return nil, nil, &Error{Code: CodeBadRequest, Message: err.Error()}
		}
	}
	c, err := l.readNewest(ctx)
	if err != nil {
		return nil, nil, err
	}
	rest, err := c.State.Objects()
	if err != nil {
		return nil, nil, err
	}
	inFiles := map[string]bool{}
	for _, o := range objects {
		inFiles[o.Key.String()] = true
	}
	for _, o := range rest {
		if k := o.Key.String(); !inFiles[k] && !slices.Contains(request.Delete, k) {
			objects = append(objects, o)
		}
	}
	if err := config.ValidateParsed(issues, objects); err != nil {
		return nil, nil, err
	}
	base, err := l.baseState(ctx, request.Base, c)
	if err != nil {
		return nil, nil, err
	}
	var out []persimmoncart.ConfigChange
	for _, o := range objects {
		k := o.Key.String()
		if after := config.Encode(o.Spec); inFiles[k] && !bytes.Equal(after, base.Get(k)) {
			out = append(out, persimmoncart.ConfigChange{After: after, Before: base.Get(k), Key: k})
		}
	}
	for _, k := range append(slices.Clone(request.Delete), expiredSheets(objects, inFiles)...) {
		if before := base.Get(k); before != nil {
			out = append(out, persimmoncart.ConfigChange{Before: before, Key: k})
		}
	}
	return out, c, nil
}

// expiredSheets returns the keys of the sheets that are older than
// sheetRetentionDays before the newest sheet of the request. Their content remains
// in the history.
func expiredSheets(objects []*config.Object, inFiles map[string]bool) []string {
	newest := ""
	for _, o := range objects {
		if o.Key.Kind == config.KindSheet && inFiles[o.Key.String()] {
			newest = max(newest, o.Key.Name)
		}
	}
	day, err := time.Parse(time.DateOnly, newest)
	if err != nil {
		return nil // the request has no sheet
	}
	oldest := day.AddDate(0, 0, -sheetRetentionDays).Format(time.DateOnly)
	var out []string
	for _, o := range objects {
		if k := o.Key.String(); o.Key.Kind == config.KindSheet && !inFiles[k] && o.Key.Name < oldest {
			out = append(out, k)
		}
	}
	return out
}

// baseState returns the state of the version that the files were made from; zero is
// the newest.
func (l *LocalService) baseState(ctx context.Context, version uint64, c *config.VersionedState) (*config.State, error) {
	if version == 0 || version == c.Version {
		return c.State, nil
	}
	h, err := l.Editor.Repository.Head(ctx)
	if err != nil {
		return nil, err
	}
	set, err := l.Editor.Repository.FindChangeSet(ctx, h, version)
	if err != nil {
		return nil, err
	}
	return l.Editor.Repository.State(ctx, set.StateHash, c.State)
}

// parseFiles parses configuration files and sheets.
func parseFiles(files []File) ([]*config.Object, config.Issues) {
	var objects []*config.Object
	var issues config.Issues
	for _, f := range files {
		zone, err := time.LoadLocation(f.Zone)
		if err != nil {
			issues = append(issues, config.Issue{File: f.Name, Message: fmt.Sprintf("unknown time zone %q", f.Zone), Want: "a name such as Africa/Tunis"})
			continue
		}
		var parsed []*config.Object
		var found config.Issues
		if strings.HasSuffix(strings.ToLower(f.Name), ".csv") {
			parsed, found = config.ParseSheet(f.Name, []byte(f.Data), zone)
		} else {
			parsed, found = config.ParseYAML(f.Name, []byte(f.Data))
		}
		objects, issues = append(objects, parsed...), append(issues, found...)
	}
	return objects, issues
}

// apiError converts err to the *Error that the API returns.
func apiError(err error) error {
	var (
		ambiguous   *persimmoncart.AmbiguousError
		conflict    *config.EditConflictError
		issues      config.Issues
		apiErr      *Error
		missing     *persimmoncart.NotFoundError
		unavailable *persimmoncart.UnavailableError
		unsettled   *config.UnsettledError
	)
	switch {
	case errors.As(err, &apiErr):
		return apiErr
	case errors.As(err, &issues):
		return &Error{Code: CodeInvalid, Issues: issues, Message: fmt.Sprintf("%d faults in the configuration", len(issues))}
	case errors.As(err, &conflict):
		return &Error{Code: CodeConflict, Message: conflict.Error(), Conflict: &Conflict{
			Time: conflict.Time, Author: conflict.Author, Fields: config.DiffFields(conflict.Base, conflict.Theirs), Key: conflict.Key,
			Ours: config.DiffFields(conflict.Theirs, conflict.Ours), Version: conflict.Version,
		}}
	case errors.As(err, &unsettled):
		return &Error{Code: CodeUnsettled, ID: unsettled.ID, Message: unsettled.Error()}
	case errors.As(err, &missing):
		return &Error{Code: CodeNotFound, Message: missing.Error()}
	case errors.As(err, &unavailable), errors.As(err, &ambiguous):
		return &Error{Code: CodeStoreDown, Message: err.Error()}
	default:
		return &Error{Code: CodeInternal, Message: err.Error()}
	}
}
