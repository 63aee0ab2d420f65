package operators

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/wrenferry/wrenferry/pkg/connection/platform"
	"github.com/wrenferry/wrenferry/pkg/fault"
	"github.com/wrenferry/wrenferry/pkg/process/settingsstore"
	"github.com/wrenferry/wrenferry/pkg/rows"
	"github.com/wrenferry/wrenferry/pkg/version/settings"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// maxSettingsBytes is the maximum size of a request body that holds a settings tree. The rest is cut off.
const maxSettingsBytes = 4 << 20

// SettingsView is one version of the settings. Text is left out of lists and of replies to edits.
type SettingsView struct {
	Version int64     `json:"version"`
	Actor   string    `json:"actor"`
	At      time.Time `json:"at"`
	EditID  string    `json:"editId"`
	Text    string    `json:"text,omitempty"`
}

// settingsView returns the view of a settings row, with its text if text is true.
func settingsView(row *wire.SettingsRow, text bool) SettingsView {
	v := SettingsView{Version: row.GetVersion(), Actor: row.GetActor(), At: time.UnixMilli(row.GetAtUnixMs()), EditID: row.GetEditId()}
	if text {
		v.Text = row.GetBody()
	}
	return v
}

// showSettings returns the version that the query names, or the one in force if the query names none.
func (s *Server) showSettings(r *http.Request) (SettingsView, error) {
	text := r.URL.Query().Get("version")
	if text == "" {
		return settingsView(s.Settings.Row(), true), nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return SettingsView{}, fault.New(fault.BadInput, "version", fmt.Sprintf("%q is not a number", text), "give a version as settings history shows it")
	}
	row, err := platform.ReadOne(r.Context(), s.Table, rows.History(n))
	if err != nil {
		return SettingsView{}, err
	}
	if row == nil {
		return SettingsView{}, fault.New(fault.NotFound, "settings", fmt.Sprintf("there is no version %d", n), "wrenferry settings history lists them")
	}
	out := &wire.SettingsRow{}
	if err := rows.Decode(row, out); err != nil {
		return SettingsView{}, err
	}
	return settingsView(out, true), nil
}

// EditBody is the request body of an edit. Base is the version that the operator edited.
type EditBody struct {
	Text   string `json:"text"`
	Base   int64  `json:"base"`
	EditID string `json:"editId"`
}

// editSettings replaces the settings tree. It generates an edit id if the request has none.
func (s *Server) editSettings(r *http.Request) (SettingsView, error) {
	var body EditBody
	if err := json.NewDecoder(io.LimitReader(r.Body, maxSettingsBytes)).Decode(&body); err != nil {
		return SettingsView{}, fault.New(fault.BadInput, "body", "not an edit", "send {text, base, editId}").WithCause(err)
	}
	if body.EditID == "" {
		body.EditID = uuid.NewString()
	}
	row, err := s.Settings.Edit(r.Context(), time.Now(), settingsstore.Edit{
		Text: body.Text, Base: body.Base, ID: body.EditID, Actor: requestActor(r),
	})
	return settingsView(row, false), err
}

// CheckView is the answer to a check that found no problems. Kinds are the kinds of calls that the tree defines.
type CheckView struct {
	Kinds []string `json:"kinds"`
}

// checkSettings checks a settings tree without changing the settings.
func (s *Server) checkSettings(r *http.Request) (CheckView, error) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxSettingsBytes))
	if err != nil {
		return CheckView{}, fault.New(fault.BadInput, "body", "it broke off", "send it whole").WithCause(err)
	}
	tree, err := settings.Parse("settings", string(text))
	if err != nil {
		return CheckView{}, err
	}
	return CheckView{Kinds: tree.KindNames()}, nil
}

// listHistory returns all accepted versions, without their texts.
func (s *Server) listHistory(r *http.Request) ([]SettingsView, error) {
	list, err := platform.ReadAll(r.Context(), s.Table, rows.HistoryPrefix)
	if err != nil {
		return nil, err
	}
	views := make([]SettingsView, 0, len(list))
	for _, row := range list {
		out := &wire.SettingsRow{}
		if err := rows.Decode(row, out); err != nil {
			return nil, err
		}
		views = append(views, settingsView(out, false))
	}
	return views, nil
}

// listOrigins returns the settings of a branch, each with the branch that sets it.
func (s *Server) listOrigins(r *http.Request) ([]settings.Origin, error) {
	return s.Settings.Current().Origins(r.URL.Query().Get("branch"))
}
