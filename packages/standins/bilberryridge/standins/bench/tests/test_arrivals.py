from bilberryridge.standins.bench import arrivals, deployments

DAY_S = 400.0
RATE_PER_S = 5.0


def _arrivals(seed=3, rate_per_s=RATE_PER_S, phase=0.25, name="ohio-yards"):
    return arrivals.generate(name, rate_per_s, DAY_S, phase, seed)


def test_arrivals_depend_on_the_seed_and_the_organisation_alone():
    assert _arrivals() == _arrivals()
    assert _arrivals() != _arrivals(seed=4)
    assert [a.at_s for a in _arrivals()] != [
        a.at_s for a in _arrivals(name="landscapers")
    ]


def test_arrivals_have_their_rate_and_a_peak_at_their_phase():
    made = _arrivals()
    n_wanted = RATE_PER_S * (DAY_S + arrivals.WARM_UP_S)
    assert abs(len(made) - n_wanted) < 0.15 * n_wanted
    first_half = sum(0 <= a.at_s < DAY_S / 2 for a in made)
    second_half = sum(a.at_s >= DAY_S / 2 for a in made)
    assert first_half > 1.2 * second_half
    assert made[0].at_s < 0.0
    assert made[-1].at_s < DAY_S


def test_prompts_share_a_prefix_only_within_organisation_prefix_and_salt():
    first, second = [a for a in _arrivals() if not a.is_long and a.prefix == 0][:2]

    def system(arrival, salt):
        return arrivals.body(arrival, "m", salt)["messages"][0]["content"]

    def question(arrival):
        return arrivals.body(arrival, "m", "a")["messages"][1]["content"]

    assert system(first, "a") == system(second, "a")
    assert system(first, "a") != system(first, "b")
    assert question(first) != question(second)


def test_shares_add_up_and_give_bound_organisations_their_fraction():
    for name in deployments.NAMES:
        organisations = deployments.load(name, 130).organisations
        found = arrivals.shares(organisations)
        bound = sum(
            found[org.name]
            for org in organisations
            if org.regions == (org.home_region,)
        )
        assert abs(sum(found.values()) - 1.0) < 1e-9
        assert abs(bound - arrivals.BOUND_FRACTION) < 1e-9


def test_capacity_counts_prefill_and_decoding():
    per_request_s = arrivals.server_s_per_request(deployments.SPEED)
    decoding_s = 0.85 * 16 * 0.03 / 8 + 0.15 * 80 * 0.03 / 8
    prefill_s = (0.85 * (40 + 160) + 0.15 * (40 + 320)) / 8000.0
    assert abs(per_request_s - decoding_s - prefill_s) < 1e-9


def test_long_requests_have_the_flex_service_tier():
    made = _arrivals()
    tiers = {a.is_long: arrivals.body(a, "m", "").get("service_tier") for a in made}
    assert tiers == {True: "flex", False: None}
