//! Lists the history of bundles.

use http::StatusCode;
use masticstair_core::prelude::*;
use masticstair_net::http::server::{Request, Response};
use masticstair_store::state::{Answer, MAX_LISTED_ENTRIES, Query};

use super::problems::{read_problem, unexpected_answer};
use super::read_auth::check_read;
use super::{AdminProblem, HistoryList, READ_TIMEOUT, control, parse_digest};
use crate::state::HostState;

/// Bundles on a page if the request sets no `limit`.
const DEFAULT_PAGE_BUNDLES: u32 = 20;

/// Handles `GET /v1/bundles?limit=&cursor=`.
pub(super) async fn list(state: &HostState, req: &Request) -> Result<Response, Box<AdminProblem>> {
    check_read(state, req)?;
    let limit = read_limit(req)?;
    let after = req.query("cursor").map(parse_digest).transpose()?;
    let control = control(state)?;
    let revision = control.read(&Query::Revision, READ_TIMEOUT).await.map_err(read_problem)?;
    let query = Query::HistoryPage { after, limit };
    let page = control.read(&query, READ_TIMEOUT).await.map_err(read_problem)?;
    let (Answer::Revision(revision), Answer::HistoryPage(page)) = (revision, page) else {
        return Err(unexpected_answer());
    };
    let page = page.ok_or_else(cursor_gone)?;
    let next_cursor = page.bundles.last().filter(|_| page.more).map(|b| b.digest);
    let bundles = page.bundles.into_iter().map(Into::into).collect();
    Ok(Response::json(StatusCode::OK, &HistoryList { revision, bundles, next_cursor }))
}

fn read_limit(req: &Request) -> Result<Slots, Box<AdminProblem>> {
    let Some(text) = req.query("limit") else { return Ok(Slots::new(DEFAULT_PAGE_BUNDLES)) };
    let parsed = text.parse::<Slots>().ok();
    let in_range = parsed.filter(|n| (1..=MAX_LISTED_ENTRIES as u64).contains(&u64::from(n.get())));
    Ok(in_range.ok_or_else(|| {
        let detail =
            format!("the limit {text:?} is not a whole number from 1 to {MAX_LISTED_ENTRIES}");
        Problem::not_run(400, "limit-invalid", detail).with_field("limit")
    })?)
}

fn cursor_gone() -> Box<AdminProblem> {
    let detail = "the bundle of the cursor is no longer listed; begin again without a cursor";
    Problem::not_run(410, "cursor-gone", detail).with_field("cursor").into()
}
